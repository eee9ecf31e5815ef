//! All known backend servers, by id and by their short key.

use std::collections::{BTreeMap, HashMap};

use jaypin_core::{BackendId, ServiceId};

use crate::{Backend, BackendKey, BackendRecord};

/// Backend servers by id, with an index by their key in reports.
#[derive(Debug, Default)]
pub struct BackendTable {
    by_id: BTreeMap<BackendId, Backend>,
    by_key: HashMap<BackendKey, BackendId>,
}

impl BackendTable {
    /// Returns a backend server by its id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Backend> {
        self.by_id.get(id)
    }

    /// Returns a backend server by its id, to be changed.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Backend> {
        self.by_id.get_mut(id)
    }

    /// Returns a backend server by its key in reports.
    #[must_use]
    pub fn by_key(&self, key: BackendKey) -> Option<&Backend> {
        self.by_id.get(self.by_key.get(&key)?)
    }

    /// Returns a backend server by its key in reports, to be changed.
    pub fn by_key_mut(&mut self, key: BackendKey) -> Option<&mut Backend> {
        self.by_id.get_mut(self.by_key.get(&key)?)
    }

    /// Adds a backend server, in place of one with the same id.
    pub fn insert(&mut self, backend: Backend) {
        let id = backend.record.id.clone();
        self.by_key.insert(backend.key, id.clone());
        self.by_id.insert(id, backend);
    }

    /// Removes and returns a backend server.
    pub fn remove(&mut self, id: &str) -> Option<Backend> {
        let backend = self.by_id.remove(id)?;
        self.by_key.remove(&backend.key);
        Some(backend)
    }

    /// Iterates over the ids of all backend servers.
    pub fn ids(&self) -> impl Iterator<Item = &BackendId> {
        self.by_id.keys()
    }

    /// Iterates over all backend servers in the order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &Backend> + Clone {
        self.by_id.values()
    }

    /// Iterates over all backend servers in the order of their ids, to change them.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        self.by_id.values_mut()
    }

    /// Returns the ids, by service, of the ready backend servers that `is_chosen` selects.
    #[must_use]
    pub fn ready_by_service(
        &self,
        is_chosen: impl Fn(&BackendRecord) -> bool,
    ) -> BTreeMap<ServiceId, Vec<BackendId>> {
        let mut by_service: BTreeMap<ServiceId, Vec<BackendId>> = BTreeMap::new();
        let ready = self.values().filter(|it| it.is_ready());
        for record in ready.map(|it| &it.record).filter(|it| is_chosen(it)) {
            let of_service = by_service.entry(record.service.clone()).or_default();
            of_service.push(record.id.clone());
        }
        by_service
    }
}
