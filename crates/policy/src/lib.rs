//! Choice of target, windows and order between programs
