//! Hash map and set with a fast hasher.

use std::collections::{HashMap, HashSet};

use rustc_hash::FxBuildHasher;

/// Hash map with a fast hasher.
pub type FastMap<K, V> = HashMap<K, V, FxBuildHasher>;

/// Hash set with a fast hasher.
pub type FastSet<K> = HashSet<K, FxBuildHasher>;
