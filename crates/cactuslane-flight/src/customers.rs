//! Customers and the keys by which their requests are recognized.

use std::collections::BTreeMap;

use cactuslane_types::CustomerName;
use sha2::{Digest, Sha256};

/// SHA-256 hash of a key.
type KeyHash = [u8; 32];

/// A customer, whose requests carry one of its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name by which targets know the customer.
    pub name: CustomerName,
    /// Priority of its requests, which goes before that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// The customers of a configuration, by the hashes of their keys.
///
/// Keys are kept and looked up as hashes, so that neither memory dumps nor the time of a lookup
/// reveal them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Customers {
    /// Customers in the order of the configuration.
    customers: Vec<Customer>,
    /// Index into `customers` by key.
    keys: BTreeMap<KeyHash, usize>,
}

/// A key that cannot be used, with the names of the customers that list it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyConflict {
    /// A key of this customer is empty.
    Empty(CustomerName),
    /// Two customers, the first of which keeps the key, list the same one.
    Shared(CustomerName, CustomerName),
}

impl Customers {
    /// Adds a customer with its keys, and returns those that cannot be used, by their indices.
    ///
    /// An empty key is skipped, and a key that another customer lists already stays with that one.
    pub fn add(&mut self, customer: Customer, keys: &[String]) -> Vec<(usize, KeyConflict)> {
        let index = self.customers.len();
        let mut conflicts = Vec::new();
        for (number, key) in keys.iter().enumerate() {
            if key.is_empty() {
                conflicts.push((number, KeyConflict::Empty(customer.name.clone())));
                continue;
            }
            let holder = *self.keys.entry(hash(key.as_bytes())).or_insert(index);
            if holder != index {
                let first = self.customers[holder].name.clone();
                let conflict = KeyConflict::Shared(first, customer.name.clone());
                conflicts.push((number, conflict));
            }
        }
        self.customers.push(customer);
        conflicts
    }

    /// Returns the customer that holds a key.
    #[must_use]
    pub fn find(&self, key: &[u8]) -> Option<&Customer> {
        let index = *self.keys.get(&hash(key))?;
        self.customers.get(index)
    }

    /// Returns the customers in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Customer> {
        self.customers.iter()
    }
}

/// Returns the hash of a key.
fn hash(key: &[u8]) -> KeyHash {
    Sha256::digest(key).into()
}
