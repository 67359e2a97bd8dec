//! Number of open connections of each address.

use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;

use lagoon_ids::FastMap;

/// Part of the connections that a single address can't use, so that the load balancer,
/// other VMs and other callers get in beside it: its divisor.
const OTHER_ADDRESSES_DIVISOR: usize = 8;

/// Limit of the connections that one address may have open.
#[derive(Debug)]
pub struct AddressLimit {
    max: usize,
    open: RefCell<FastMap<IpAddr, usize>>,
}

impl AddressLimit {
    /// Limit for a server that takes `max_connections` in all; `by_address` 0 stands for
    /// seven eighths of them.
    pub fn new(by_address: usize, max_connections: usize) -> Rc<AddressLimit> {
        let max = match by_address {
            0 => max_connections - max_connections / OTHER_ADDRESSES_DIVISOR,
            connections => connections,
        };
        Rc::new(AddressLimit {
            max,
            open: RefCell::default(),
        })
    }

    /// Counts a connection of this address as open until the result is dropped; `None` if
    /// too many are.
    pub fn admit(self: &Rc<Self>, address: IpAddr) -> Option<AddressGuard> {
        let mut connections = self.open.borrow_mut();
        let open = connections.entry(address).or_default();
        if *open >= self.max {
            return None;
        }
        *open += 1;
        Some(AddressGuard {
            limit: Rc::clone(self),
            address,
        })
    }
}

/// Counts a connection of an address as open.
#[derive(Debug)]
pub struct AddressGuard {
    limit: Rc<AddressLimit>,
    address: IpAddr,
}

impl Drop for AddressGuard {
    fn drop(&mut self) {
        let mut connections = self.limit.open.borrow_mut();
        let open = connections.get_mut(&self.address);
        let is_last = open.is_some_and(|open| {
            *open -= 1;
            *open == 0
        });
        if is_last {
            connections.remove(&self.address);
        }
    }
}
