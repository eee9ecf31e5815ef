//! All backend servers that are known, by id and by their short key.

use std::collections::{BTreeMap, HashMap};

use jaypin_core::{BackendId, ServiceId};

use crate::{Backend, BackendKey, BackendRecord};

/// Backend servers by id, found by the key of reports as well.
#[derive(Debug, Default)]
pub struct BackendTable {
    by_id: BTreeMap<BackendId, Backend>,
    by_key: HashMap<BackendKey, BackendId>,
}

impl BackendTable {
    /// One of them.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Backend> {
        self.by_id.get(id)
    }

    /// One of them, to be changed.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Backend> {
        self.by_id.get_mut(id)
    }

    /// The one that reports name by a key.
    #[must_use]
    pub fn by_key(&self, key: BackendKey) -> Option<&Backend> {
        self.by_id.get(self.by_key.get(&key)?)
    }

    /// The one that reports name by a key, to be changed.
    pub fn by_key_mut(&mut self, key: BackendKey) -> Option<&mut Backend> {
        self.by_id.get_mut(self.by_key.get(&key)?)
    }

    /// Adds one.
    pub fn insert(&mut self, backend: Backend) {
        let id = backend.record.id.clone();
        self.by_key.insert(backend.key, id.clone());
        self.by_id.insert(id, backend);
    }

    /// Takes one out.
    pub fn remove(&mut self, id: &str) -> Option<Backend> {
        let backend = self.by_id.remove(id)?;
        self.by_key.remove(&backend.key);
        Some(backend)
    }

    /// Ids of all.
    pub fn ids(&self) -> impl Iterator<Item = &BackendId> {
        self.by_id.keys()
    }

    /// All, in the order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &Backend> + Clone {
        self.by_id.values()
    }

    /// All, to be changed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        self.by_id.values_mut()
    }

    /// Ids of those that take requests and that are chosen, by service.
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
