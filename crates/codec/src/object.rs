//! Conversion of configured objects.

use cowslip_config as config;
use cowslip_proto as proto;

use crate::error::{CodecError, FieldSnafu};
use crate::hex::{decode_digest_hex, decode_hex, encode_hex};

/// Converts the new state of an object to its id and the object, `None` for a removal.
pub(crate) fn change_from_proto(
    state: &proto::ObjectState,
) -> Result<(config::ObjectId, Option<config::Object>), CodecError> {
    let object = match state {
        proto::ObjectState::Removed(key) => return Ok((object_id_from_proto(key), None)),
        proto::ObjectState::Workspace(workspace) => config::Object::Workspace(config::Workspace {
            name: workspace.name.clone(),
            share_weight: workspace.share_weight,
            max_in_flight: workspace.max_in_flight,
            deployments: workspace.deployments.clone(),
            services: workspace.services.clone(),
        }),
        proto::ObjectState::Key(key) => config::Object::Key(config::Key {
            name: key.name.clone(),
            workspace: key.workspace.clone(),
            salt: decode_hex("salt_hex", &key.salt_hex)?,
            hash: decode_digest_hex("hash_hex", &key.hash_hex)?,
        }),
        proto::ObjectState::Deployment(deployment) => {
            config::Object::Deployment(config::Deployment {
                name: deployment.name.clone(),
                upstreams: upstreams_from_proto(&deployment.upstreams)?,
                shares: deployment.shares.iter().map(share_from_proto).collect(),
            })
        }
        proto::ObjectState::Service(service) => config::Object::Service(config::Service {
            name: service.name.clone(),
            upstreams: upstreams_from_proto(&service.upstreams)?,
            calls: service.calls.iter().map(rule_from_proto).collect(),
        }),
        proto::ObjectState::OpenRoute(route) => config::Object::OpenRoute(config::OpenRoute {
            name: route.name.clone(),
            service: route.service.clone(),
            path_prefix: route.path_prefix.clone(),
        }),
    };
    Ok((object.id(), Some(object)))
}

fn share_from_proto(share: &proto::DomainShare) -> config::DomainShare {
    config::DomainShare { failure_domain: share.failure_domain.clone(), weight: share.weight }
}

fn rule_from_proto(rule: &proto::CallRule) -> config::CallRule {
    config::CallRule {
        method: rule.method.clone(),
        path_prefix: rule.path_prefix.clone(),
        idempotent: rule.idempotent,
    }
}

fn upstreams_from_proto(rows: &[proto::Upstream]) -> Result<Vec<config::Upstream>, CodecError> {
    rows.iter().map(upstream_from_proto).collect()
}

fn upstream_from_proto(row: &proto::Upstream) -> Result<config::Upstream, CodecError> {
    let address = row.address.parse().map_err(|_| {
        let reason = format!("{:?} is not an IP address and port", row.address);
        FieldSnafu { field: "address", reason }.build()
    })?;
    Ok(config::Upstream {
        name: row.name.clone(),
        address,
        failure_domain: row.failure_domain.clone(),
        tier: match row.tier {
            proto::Tier::Standard => config::Tier::Standard,
            proto::Tier::Reclaimable => config::Tier::Reclaimable,
        },
        fencing: match row.fencing {
            proto::Fencing::Checked => config::Fencing::Checked,
            proto::Fencing::Ignored => config::Fencing::Ignored,
        },
        role: role_from_proto(row.role),
        is_drained: row.drained,
        slots: row.slots,
    })
}

pub(crate) fn role_from_proto(role: proto::Role) -> config::Role {
    match role {
        proto::Role::Mixed => config::Role::Mixed,
        proto::Role::Prefill => config::Role::Prefill,
        proto::Role::Decode => config::Role::Decode,
    }
}

pub(crate) fn role_to_proto(role: config::Role) -> proto::Role {
    match role {
        config::Role::Mixed => proto::Role::Mixed,
        config::Role::Prefill => proto::Role::Prefill,
        config::Role::Decode => proto::Role::Decode,
    }
}

pub(crate) fn object_id_from_proto(key: &proto::ObjectKey) -> config::ObjectId {
    let kind = match key.kind {
        proto::ObjectKind::Workspace => config::ObjectKind::Workspace,
        proto::ObjectKind::Key => config::ObjectKind::Key,
        proto::ObjectKind::Deployment => config::ObjectKind::Deployment,
        proto::ObjectKind::Service => config::ObjectKind::Service,
        proto::ObjectKind::OpenRoute => config::ObjectKind::OpenRoute,
    };
    config::ObjectId { kind, name: key.name.clone() }
}

/// Converts the id of an object to its form in messages.
#[must_use]
pub fn object_id_to_proto(id: &config::ObjectId) -> proto::ObjectKey {
    let kind = match id.kind {
        config::ObjectKind::Workspace => proto::ObjectKind::Workspace,
        config::ObjectKind::Key => proto::ObjectKind::Key,
        config::ObjectKind::Deployment => proto::ObjectKind::Deployment,
        config::ObjectKind::Service => proto::ObjectKind::Service,
        config::ObjectKind::OpenRoute => proto::ObjectKind::OpenRoute,
    };
    proto::ObjectKey { kind, name: id.name.clone() }
}

/// Converts an object to its form in messages.
#[must_use]
pub fn object_to_proto(object: &config::Object) -> proto::ObjectState {
    match object {
        config::Object::Workspace(workspace) => proto::ObjectState::Workspace(proto::Workspace {
            name: workspace.name.clone(),
            share_weight: workspace.share_weight,
            max_in_flight: workspace.max_in_flight,
            deployments: workspace.deployments.clone(),
            services: workspace.services.clone(),
        }),
        config::Object::Key(key) => proto::ObjectState::Key(proto::Key {
            name: key.name.clone(),
            workspace: key.workspace.clone(),
            salt_hex: encode_hex(&key.salt),
            hash_hex: encode_hex(&key.hash),
        }),
        config::Object::Deployment(deployment) => {
            proto::ObjectState::Deployment(proto::Deployment {
                name: deployment.name.clone(),
                upstreams: deployment.upstreams.iter().map(upstream_to_proto).collect(),
                shares: deployment.shares.iter().map(share_to_proto).collect(),
            })
        }
        config::Object::Service(service) => proto::ObjectState::Service(proto::Service {
            name: service.name.clone(),
            upstreams: service.upstreams.iter().map(upstream_to_proto).collect(),
            calls: service.calls.iter().map(rule_to_proto).collect(),
        }),
        config::Object::OpenRoute(route) => proto::ObjectState::OpenRoute(proto::OpenRoute {
            name: route.name.clone(),
            service: route.service.clone(),
            path_prefix: route.path_prefix.clone(),
        }),
    }
}

fn share_to_proto(share: &config::DomainShare) -> proto::DomainShare {
    proto::DomainShare { failure_domain: share.failure_domain.clone(), weight: share.weight }
}

fn rule_to_proto(rule: &config::CallRule) -> proto::CallRule {
    proto::CallRule {
        method: rule.method.clone(),
        path_prefix: rule.path_prefix.clone(),
        idempotent: rule.idempotent,
    }
}

fn upstream_to_proto(upstream: &config::Upstream) -> proto::Upstream {
    proto::Upstream {
        name: upstream.name.clone(),
        address: upstream.address.to_string(),
        failure_domain: upstream.failure_domain.clone(),
        tier: match upstream.tier {
            config::Tier::Standard => proto::Tier::Standard,
            config::Tier::Reclaimable => proto::Tier::Reclaimable,
        },
        fencing: match upstream.fencing {
            config::Fencing::Checked => proto::Fencing::Checked,
            config::Fencing::Ignored => proto::Fencing::Ignored,
        },
        role: role_to_proto(upstream.role),
        drained: upstream.is_drained,
        slots: upstream.slots,
    }
}
