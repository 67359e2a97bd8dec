//! Stand-ins of the platform, a model engine and a plain service
