//! Decisions of one entry VM without clock, thread or socket
