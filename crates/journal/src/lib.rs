//! Append-only journal of one incarnation, kept in the platform's table
