//! Tickets applied from the log: the highest ticket number sets each object, in whatever order the
//! tickets arrive.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslip_name::Name;

use crate::object::{Deployment, Key, Object, ObjectId, ObjectKind, OpenRoute, Service, Workspace};

/// Largest accepted distance of a ticket number from the highest accepted one, in either direction.
pub const NUMBER_WINDOW: u64 = 65_536;

/// BLAKE3 hash of a ticket's content.
pub type Digest = [u8; 32];

/// A numbered ticket that changes objects of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Number of the ticket, from 1; higher numbers take precedence.
    pub number: u64,
    /// Digest of the content, to recognise a retry of the same ticket.
    pub digest: Digest,
    /// New state of each changed object; `None` removes the object.
    pub changes: Vec<(ObjectId, Option<Object>)>,
}

/// Effect of a ticket on one object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObjectOutcome {
    /// The object has the state that the ticket gives it.
    Applied,
    /// A ticket with a higher number has already set the object.
    Superseded,
}

/// Reason why a ticket is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketRefusal {
    /// A different ticket has the same number.
    NumberTaken,
    /// The number is too far below the highest one.
    TooOld {
        /// Lowest number that is accepted.
        floor: u64,
    },
    /// The number is too far above the highest one.
    TooFarAhead {
        /// Highest number that is accepted.
        ceiling: u64,
    },
}

/// Effect of a ticket at its offset in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketResult {
    /// The ticket was accepted, with an outcome for each object in the ticket's order.
    Accepted(Vec<(ObjectId, ObjectOutcome)>),
    /// The ticket was refused and changed nothing.
    Refused(TicketRefusal),
}

/// State of one object with the number of the ticket that set it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedObject {
    /// Number of the ticket that set the object.
    pub number: u64,
    /// State of the object, `None` if it was removed.
    pub object: Option<Arc<Object>>,
}

/// The configuration as of one log offset.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigState {
    objects: BTreeMap<ObjectId, VersionedObject>,
    tickets: BTreeMap<u64, Digest>,
}

impl ConfigState {
    /// Restores a configuration from the content of a snapshot.
    #[must_use]
    pub fn from_parts(
        objects: BTreeMap<ObjectId, VersionedObject>,
        tickets: BTreeMap<u64, Digest>,
    ) -> Self {
        Self { objects, tickets }
    }

    /// Iterates over all objects, including removed ones, in the order of their ids.
    pub fn objects(&self) -> impl Iterator<Item = (&ObjectId, &VersionedObject)> {
        self.objects.iter()
    }

    /// Iterates over the numbers and digests of the tickets that are within the number window.
    pub fn tickets(&self) -> impl Iterator<Item = (u64, &Digest)> {
        self.tickets.iter().map(|(number, digest)| (*number, digest))
    }

    /// Returns the effect that the ticket would have, without applying it.
    #[must_use]
    pub fn evaluate(&self, ticket: &Ticket) -> TicketResult {
        match self.refusal(ticket) {
            Some(refusal) => TicketResult::Refused(refusal),
            None => TicketResult::Accepted(
                ticket.changes.iter().map(|(id, _)| self.outcome(id, ticket.number)).collect(),
            ),
        }
    }

    fn refusal(&self, ticket: &Ticket) -> Option<TicketRefusal> {
        let highest = self.tickets.last_key_value().map(|(number, _)| *number)?;
        let floor = highest.saturating_sub(NUMBER_WINDOW);
        let ceiling = highest.saturating_add(NUMBER_WINDOW);
        match self.tickets.get(&ticket.number) {
            Some(digest) if *digest != ticket.digest => Some(TicketRefusal::NumberTaken),
            _ if ticket.number < floor => Some(TicketRefusal::TooOld { floor }),
            _ if ticket.number > ceiling => Some(TicketRefusal::TooFarAhead { ceiling }),
            _ => None,
        }
    }

    fn outcome(&self, id: &ObjectId, number: u64) -> (ObjectId, ObjectOutcome) {
        let is_newer = self.objects.get(id).is_none_or(|versioned| versioned.number <= number);
        let outcome = if is_newer { ObjectOutcome::Applied } else { ObjectOutcome::Superseded };
        (id.clone(), outcome)
    }

    /// Applies the ticket and returns its effect; a retry of the same ticket changes nothing.
    pub fn apply(&mut self, ticket: &Ticket) -> TicketResult {
        let result = self.evaluate(ticket);
        if let TicketResult::Accepted(outcomes) = &result {
            self.tickets.insert(ticket.number, ticket.digest);
            for ((id, object), (_, outcome)) in ticket.changes.iter().zip(outcomes) {
                if *outcome == ObjectOutcome::Applied {
                    let object = object.clone().map(Arc::new);
                    self.objects
                        .insert(id.clone(), VersionedObject { number: ticket.number, object });
                }
            }
            self.evict_old();
        }
        result
    }

    /// Drops tickets and removed objects with numbers below those of all acceptable tickets.
    fn evict_old(&mut self) {
        let highest = self.tickets.last_key_value().map_or(0, |(number, _)| *number);
        let floor = highest.saturating_sub(NUMBER_WINDOW);
        if self.tickets.first_key_value().is_none_or(|(number, _)| *number >= floor) {
            return;
        }
        self.tickets = self.tickets.split_off(&floor);
        self.objects.retain(|_, versioned| versioned.object.is_some() || versioned.number >= floor);
    }

    fn get(&self, kind: ObjectKind, name: &Name) -> Option<&Object> {
        let id = ObjectId { kind, name: name.clone() };
        self.objects.get(&id)?.object.as_deref()
    }

    fn present_objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values().filter_map(|versioned| versioned.object.as_deref())
    }

    /// Returns the workspace with this name.
    #[must_use]
    pub fn workspace(&self, name: &Name) -> Option<&Workspace> {
        match self.get(ObjectKind::Workspace, name) {
            Some(Object::Workspace(workspace)) => Some(workspace),
            _ => None,
        }
    }

    /// Returns the API key with this public part.
    #[must_use]
    pub fn key(&self, name: &Name) -> Option<&Key> {
        match self.get(ObjectKind::Key, name) {
            Some(Object::Key(key)) => Some(key),
            _ => None,
        }
    }

    /// Returns the deployment of the model with this name.
    #[must_use]
    pub fn deployment(&self, name: &Name) -> Option<&Deployment> {
        match self.get(ObjectKind::Deployment, name) {
            Some(Object::Deployment(deployment)) => Some(deployment),
            _ => None,
        }
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &Name) -> Option<&Service> {
        match self.get(ObjectKind::Service, name) {
            Some(Object::Service(service)) => Some(service),
            _ => None,
        }
    }

    /// Iterates over all deployments in name order.
    pub fn deployments(&self) -> impl Iterator<Item = &Deployment> {
        self.present_objects().filter_map(|object| match object {
            Object::Deployment(deployment) => Some(deployment),
            _ => None,
        })
    }

    /// Iterates over all services in name order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.present_objects().filter_map(|object| match object {
            Object::Service(service) => Some(service),
            _ => None,
        })
    }

    /// Returns the open route with the longest prefix that matches `path`.
    #[must_use]
    pub fn open_route(&self, path: &str) -> Option<&OpenRoute> {
        self.present_objects()
            .filter_map(|object| match object {
                Object::OpenRoute(route) if path.starts_with(&route.path_prefix) => Some(route),
                _ => None,
            })
            .max_by_key(|route| route.path_prefix.len())
    }
}
