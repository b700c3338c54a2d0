//! Status and audit trail for operators.

use cowslip_codec::{LogEntry, encode_hex, object_to_proto, to_json};
use cowslip_config::Admission;
use cowslip_proto as proto;
use cowslip_state::ApplyResult;

use super::{Hub, KEPT_AUDIT_LINES};

impl Hub {
    pub(super) fn status(&self) -> proto::StatusReport {
        let now_ms = self.clock.now_ms();
        let readiness = self.readiness();
        let is_admitting = readiness.is_ok();
        proto::StatusReport {
            instance: self.own_id.instance.clone(),
            ready: is_admitting,
            admitting: is_admitting,
            reason: readiness.unwrap_or_else(|reason| reason),
            next_offset: self.next_offset,
            log_age_ms: self.freshness.age_ms(now_ms),
            config_digest_hex: self.config_digest(),
            instances: self.instance_rows(now_ms),
            upstreams: self.upstream_rows(),
            terms: self.term_rows(),
        }
    }

    /// Returns how requests are admitted, or the reason why they are not.
    pub(super) fn readiness(&self) -> Result<String, String> {
        if self.is_stopping {
            return Err("stopping".to_owned());
        }
        let admission = self.admission(self.clock.now_ms());
        match admission {
            Admission::Admit | Admission::AdmitStale => Ok(format!("{admission:?}")),
            Admission::Stop(_) => Err(format!("{admission:?}")),
        }
    }

    /// Returns the digest of all objects; instances with the same configuration have equal digests.
    fn config_digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        for (_, versioned) in self.state.config.objects() {
            hasher.update(&versioned.number.to_be_bytes());
            if let Some(object) = &versioned.object {
                hasher.update(to_json(&object_to_proto(object)).as_bytes());
            }
        }
        encode_hex(hasher.finalize().as_bytes())
    }

    fn instance_rows(&self, now_ms: u64) -> Vec<proto::InstanceStatus> {
        let own = proto::InstanceStatus {
            name: self.own_id.instance.clone(),
            failure_domain: self.config.settings.instance.failure_domain.clone(),
            next_offset: self.next_offset,
            in_flight: u32::try_from(self.requests.in_flight()).unwrap_or(u32::MAX),
            heard_age_ms: 0,
        };
        let peers =
            self.members.live(now_ms).map(|(name, heartbeat, age_ms)| proto::InstanceStatus {
                name: name.clone(),
                failure_domain: heartbeat.failure_domain.clone(),
                next_offset: heartbeat.next_offset,
                in_flight: heartbeat.in_flight,
                heard_age_ms: age_ms,
            });
        let mut rows: Vec<_> = std::iter::once(own).chain(peers).collect();
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        rows
    }

    fn upstream_rows(&self) -> Vec<proto::UpstreamStatus> {
        let config = &self.state.config;
        let engines = config.deployments().map(|owner| (&owner.name, &owner.upstreams));
        let services = config.services().map(|owner| (&owner.name, &owner.upstreams));
        engines
            .chain(services)
            .flat_map(|(owner, upstreams)| upstreams.iter().map(move |row| (owner, row)))
            .map(|(owner, upstream)| proto::UpstreamStatus {
                name: upstream.name.clone(),
                owner: owner.clone(),
                failure_domain: upstream.failure_domain.clone(),
                in_flight: self.requests.in_flight_at(&upstream.name),
                drained: upstream.is_drained || self.has_open_order(&upstream.name),
            })
            .collect()
    }

    fn term_rows(&self) -> Vec<proto::TermStatus> {
        self.state
            .terms
            .iter()
            .map(|(scope, newest)| proto::TermStatus {
                scope: scope.clone(),
                holder: newest.holder.instance.clone(),
                term: newest.term,
                released: newest.released,
            })
            .collect()
    }

    /// Adds a record to the audit trail. Lease renewals, usage counts, calls and snapshots are not
    /// changes and are left out.
    pub(super) fn add_audit_line(
        &mut self,
        offset: u64,
        entry: &LogEntry,
        message: &proto::Record,
        result: &ApplyResult,
    ) {
        let (author, ticket, change) = match message {
            proto::Record::Ticket(ticket) => {
                let change = format!("{}: {}", describe(result), ticket.reason);
                (ticket.author.clone(), Some(ticket.number), change)
            }
            proto::Record::Claim(claim) => {
                let change = format!("{}: claim of {}", describe(result), claim.scope);
                (claim.holder.instance.clone(), None, change)
            }
            proto::Record::Release(release) => {
                let change = format!("{}: release of {}", describe(result), release.scope);
                (entry.writer.clone(), None, change)
            }
            proto::Record::Intent(intent) => {
                let change = format!(
                    "{}: order {} to {}: {:?}",
                    describe(result),
                    intent.sequence,
                    intent.target,
                    intent.action
                );
                (entry.writer.clone(), None, change)
            }
            proto::Record::Done(done) => {
                let change = format!(
                    "{}: order {} to {} done",
                    describe(result),
                    done.sequence,
                    done.target
                );
                (entry.writer.clone(), None, change)
            }
            proto::Record::WindowFixed(window_ref) => {
                let change =
                    format!("{}: usage window {} fixed", describe(result), window_ref.window);
                (entry.writer.clone(), None, change)
            }
            proto::Record::WindowReported(window_ref) => {
                let change =
                    format!("{}: usage window {} reported", describe(result), window_ref.window);
                (entry.writer.clone(), None, change)
            }
            proto::Record::Renewal(_)
            | proto::Record::UsageCount(_)
            | proto::Record::CallStart(_)
            | proto::Record::CallEnd(_)
            | proto::Record::SnapshotChunk(_) => return,
        };
        self.audit_lines.push_back(proto::AuditLine {
            offset,
            written_at_ms: entry.written_at_ms,
            instance: entry.writer.clone(),
            author,
            ticket,
            change,
        });
        if self.audit_lines.len() > KEPT_AUDIT_LINES {
            self.audit_lines.pop_front();
        }
    }

    pub(super) fn audit_page(&self) -> proto::AuditPage {
        proto::AuditPage { lines: self.audit_lines.iter().cloned().collect() }
    }
}

fn describe(result: &ApplyResult) -> &'static str {
    use cowslip_authority::LeaseRecordResult;
    use cowslip_config::TicketResult;

    match result {
        ApplyResult::Ticket(_, TicketResult::Accepted(_)) => "applied",
        ApplyResult::Lease(LeaseRecordResult::Acquired | LeaseRecordResult::Applied)
        | ApplyResult::Order(true)
        | ApplyResult::Usage(true) => "counted",
        ApplyResult::Ticket(..)
        | ApplyResult::Lease(LeaseRecordResult::Ignored)
        | ApplyResult::Order(false)
        | ApplyResult::Usage(false) => "no effect",
        ApplyResult::CallStart(_) | ApplyResult::CallEnd(_) => "call",
    }
}
