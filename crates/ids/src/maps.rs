//! Hash map and set with the non-cryptographic hasher of rustc-hash.

use std::collections::{HashMap, HashSet};

use rustc_hash::FxBuildHasher;

/// Hash map with the rustc-hash hasher.
pub type FastMap<K, V> = HashMap<K, V, FxBuildHasher>;

/// Hash set with the rustc-hash hasher.
pub type FastSet<K> = HashSet<K, FxBuildHasher>;
