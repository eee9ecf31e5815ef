//! Lookups in a configuration: routes, services and accounts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use jaypin_core::ServiceId;

use crate::{Account, Configuration, Route, Service};

/// A configuration with its lookup tables; built once per version.
#[derive(Debug)]
pub struct RouteTable {
    configuration: Configuration,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    credentials: HashMap<String, usize>,
    services: HashMap<ServiceId, usize>,
    least_aims: HashMap<ServiceId, Duration>,
}

/// Why a configuration does not allow a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unrouted {
    /// No route of the host name has a prefix of the path.
    NoRoute,
    /// The route needs a credential, and the given one is missing or unknown.
    UnknownCredential,
}

impl Unrouted {
    /// Returns the name of the reason.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no-such-route",
            Self::UnknownCredential => "credential",
        }
    }
}

impl RouteTable {
    /// Builds the lookup tables.
    #[must_use]
    pub fn new(mut configuration: Configuration) -> Self {
        // All limits are fractions of the latency target: with a target of zero, every request
        // would be too late.
        for route in configuration
            .routes
            .iter_mut()
            .filter(|it| it.latency_target.is_zero())
        {
            route.latency_target = route.timeout;
        }
        let mut routes: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let of_host = routes.entry(route.host.to_ascii_lowercase()).or_default();
            of_host.insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        let accounts = configuration.accounts.iter().enumerate();
        let credentials = accounts
            .flat_map(|(index, account)| account.credentials.iter().map(move |it| (it, index)))
            .map(|(credential, index)| (credential.clone(), index))
            .collect();
        let mut least_aims: HashMap<ServiceId, Duration> = HashMap::new();
        for route in &configuration.routes {
            for target in &route.targets {
                let least = least_aims.entry(target.service.clone());
                let least = least.or_insert(route.latency_target);
                *least = route.latency_target.min(*least);
            }
        }
        let services = configuration.services.iter().enumerate();
        let services = services
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        Self {
            configuration,
            routes,
            credentials,
            services,
            least_aims,
        }
    }

    /// Returns the configuration.
    #[must_use]
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the route with the longest prefix of the path.
    ///
    /// Prefixes end with a slash, so only the path's own slashes have to be tried: a lookup costs
    /// a few hashes however many routes there are.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self.routes.get(&host.to_ascii_lowercase())?;
        let slashes = path.rmatch_indices('/');
        let mut prefixes = slashes.map(|(index, _)| &path[..=index]);
        prefixes.find_map(|prefix| of_host.get(prefix))
    }

    /// Returns a service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.get(name)?;
        self.configuration.services.get(*index)
    }

    /// Returns the shortest latency target of all routes to a service.
    #[must_use]
    pub fn shortest_latency_target(&self, service: &str) -> Option<Duration> {
        self.least_aims.get(service).copied()
    }

    /// Returns the account that has a credential.
    #[must_use]
    pub fn account(&self, credential: &str) -> Option<&Account> {
        let index = self.credentials.get(credential)?;
        self.configuration.accounts.get(*index)
    }

    /// Returns the route and the account of a request.
    ///
    /// # Errors
    /// Returns what the configuration does not allow.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        credential: Option<&str>,
    ) -> Result<(&Arc<Route>, Option<&Account>), Unrouted> {
        let route = self.route(host, path).ok_or(Unrouted::NoRoute)?;
        let account = credential.and_then(|credential| self.account(credential));
        let needs_account = !route.is_public && !self.configuration.accounts.is_empty();
        if needs_account && account.is_none() {
            return Err(Unrouted::UnknownCredential);
        }
        Ok((route, account))
    }
}
