//! The bodies that wait for memory, in the order in which their responses are due.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use tokio::time::Instant;

/// When a response is due, and a number that distinguishes those due at the same time.
type TurnKey = (Instant, u64);

/// The bodies that wait for memory.
#[derive(Debug, Default)]
pub(super) struct WaitingBodies {
    /// The memory that each needs, in bytes.
    needed: RefCell<BTreeMap<TurnKey, usize>>,
    next_number: Cell<u64>,
}

/// The turn of a body that waits, until this is dropped.
#[derive(Debug)]
pub(super) struct Turn<'a> {
    waiting: &'a WaitingBodies,
    key: TurnKey,
}

impl WaitingBodies {
    /// Returns whether a body waits whose response is due earlier and that finds room in this many bytes.
    /// Smaller bodies don't wait behind one that finds none.
    pub fn has_earlier(&self, due: Instant, free: usize) -> bool {
        self.has_before((due, 0), free)
    }

    fn has_before(&self, key: TurnKey, free: usize) -> bool {
        let needed = self.needed.borrow();
        needed.range(..key).any(|(_, bytes)| *bytes <= free)
    }

    /// Lets a body wait for this many bytes.
    pub fn enter(&self, due: Instant, bytes: usize) -> Turn<'_> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let key = (due, number);
        self.needed.borrow_mut().insert(key, bytes);
        Turn { waiting: self, key }
    }
}

impl Turn<'_> {
    /// Returns whether no other body goes first, with this many bytes free.
    pub fn is_first(&self, free: usize) -> bool {
        !self.waiting.has_before(self.key, free)
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.waiting.needed.borrow_mut().remove(&self.key);
    }
}
