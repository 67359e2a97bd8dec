//! One program: order, budget and non-idempotent calls
