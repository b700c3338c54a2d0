//! The fold of tickets: per object the highest number wins, in whatever order they arrive.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslip_name::Name;

use crate::object::{Deployment, Key, Object, ObjectId, ObjectKind, OpenRoute, Service, Workspace};

/// How far ticket numbers may lie apart and still be compared.
pub const NUMBER_WINDOW: u64 = 65_536;

/// BLAKE3 of a ticket's content.
pub type Digest = [u8; 32];

/// A numbered change ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Change number.
    pub number: u64,
    /// Digest of the content.
    pub digest: Digest,
    /// New state per object; `None` removes it.
    pub changes: Vec<(ObjectId, Option<Object>)>,
}

/// What a ticket did to one object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObjectOutcome {
    /// The object has the ticket's state.
    Applied,
    /// A higher number had set the object.
    Superseded,
}

/// Why a ticket changed nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketRefusal {
    /// Another ticket has the number.
    NumberTaken,
    /// The number lies too far below the highest one.
    TooOld {
        /// Lowest number that is still taken.
        floor: u64,
    },
    /// The number lies too far above the highest one.
    TooFarAhead {
        /// Highest number that is taken.
        ceiling: u64,
    },
}

/// What a ticket did at its place in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketVerdict {
    /// Outcome per object, in the ticket's order.
    Accepted(Vec<(ObjectId, ObjectOutcome)>),
    /// Nothing changed.
    Refused(TicketRefusal),
}

/// State of one object and the ticket that set it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedObject {
    /// Number of the ticket.
    pub number: u64,
    /// State, `None` for a removed object.
    pub object: Option<Arc<Object>>,
}

/// The configuration as of a place in the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigState {
    objects: BTreeMap<ObjectId, VersionedObject>,
    tickets: BTreeMap<u64, Digest>,
}

impl ConfigState {
    /// Restores a fold from the content of a snapshot.
    #[must_use]
    pub fn from_parts(
        objects: BTreeMap<ObjectId, VersionedObject>,
        tickets: BTreeMap<u64, Digest>,
    ) -> Self {
        Self { objects, tickets }
    }

    /// Objects, removed ones included, in order.
    pub fn objects(&self) -> impl Iterator<Item = (&ObjectId, &VersionedObject)> {
        self.objects.iter()
    }

    /// Remembered ticket numbers.
    pub fn tickets(&self) -> impl Iterator<Item = (u64, &Digest)> {
        self.tickets.iter().map(|(number, digest)| (*number, digest))
    }

    /// What the ticket would do, without doing it.
    #[must_use]
    pub fn evaluate(&self, ticket: &Ticket) -> TicketVerdict {
        match self.refusal(ticket) {
            Some(refusal) => TicketVerdict::Refused(refusal),
            None => TicketVerdict::Accepted(
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
        let is_newer = self.objects.get(id).is_none_or(|held| held.number <= number);
        let outcome = if is_newer { ObjectOutcome::Applied } else { ObjectOutcome::Superseded };
        (id.clone(), outcome)
    }

    /// Applies the ticket; a repeat of the same ticket changes nothing.
    pub fn apply(&mut self, ticket: &Ticket) -> TicketVerdict {
        let verdict = self.evaluate(ticket);
        if let TicketVerdict::Accepted(outcomes) = &verdict {
            self.tickets.insert(ticket.number, ticket.digest);
            for ((id, object), (_, outcome)) in ticket.changes.iter().zip(outcomes) {
                if *outcome == ObjectOutcome::Applied {
                    let object = object.clone().map(Arc::new);
                    self.objects
                        .insert(id.clone(), VersionedObject { number: ticket.number, object });
                }
            }
            self.forget_old();
        }
        verdict
    }

    /// Drops what no acceptable ticket can be compared with any more.
    fn forget_old(&mut self) {
        let highest = self.tickets.last_key_value().map_or(0, |(number, _)| *number);
        let floor = highest.saturating_sub(NUMBER_WINDOW);
        if self.tickets.first_key_value().is_none_or(|(number, _)| *number >= floor) {
            return;
        }
        self.tickets = self.tickets.split_off(&floor);
        self.objects.retain(|_, held| held.object.is_some() || held.number >= floor);
    }

    fn get(&self, kind: ObjectKind, name: &Name) -> Option<&Object> {
        let id = ObjectId { kind, name: name.clone() };
        self.objects.get(&id)?.object.as_deref()
    }

    fn live(&self) -> impl Iterator<Item = &Object> {
        self.objects.values().filter_map(|held| held.object.as_deref())
    }

    /// A workspace by name.
    #[must_use]
    pub fn workspace(&self, name: &Name) -> Option<&Workspace> {
        match self.get(ObjectKind::Workspace, name) {
            Some(Object::Workspace(workspace)) => Some(workspace),
            _ => None,
        }
    }

    /// A key by its public part.
    #[must_use]
    pub fn key(&self, name: &Name) -> Option<&Key> {
        match self.get(ObjectKind::Key, name) {
            Some(Object::Key(key)) => Some(key),
            _ => None,
        }
    }

    /// A deployment by model name.
    #[must_use]
    pub fn deployment(&self, name: &Name) -> Option<&Deployment> {
        match self.get(ObjectKind::Deployment, name) {
            Some(Object::Deployment(deployment)) => Some(deployment),
            _ => None,
        }
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &Name) -> Option<&Service> {
        match self.get(ObjectKind::Service, name) {
            Some(Object::Service(service)) => Some(service),
            _ => None,
        }
    }

    /// All deployments in name order.
    pub fn deployments(&self) -> impl Iterator<Item = &Deployment> {
        self.live().filter_map(|object| match object {
            Object::Deployment(deployment) => Some(deployment),
            _ => None,
        })
    }

    /// All services in name order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.live().filter_map(|object| match object {
            Object::Service(service) => Some(service),
            _ => None,
        })
    }

    /// The open route with the longest prefix of `path`.
    #[must_use]
    pub fn open_route(&self, path: &str) -> Option<&OpenRoute> {
        self.live()
            .filter_map(|object| match object {
                Object::OpenRoute(route) if path.starts_with(&route.path_prefix) => Some(route),
                _ => None,
            })
            .max_by_key(|route| route.path_prefix.len())
    }
}
