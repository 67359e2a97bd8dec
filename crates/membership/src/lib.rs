//! Live and leaving VMs of a failure domain
