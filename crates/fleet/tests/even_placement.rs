//! Where all upstreams are of the usual speed, placement is as it was before speeds were known.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cowslip_fleet::{
    EngineRole, Load, Locality, Placement, PlacementRequest, Prompt, PromptSegment, Upstream, place,
};
use proptest::prelude::*;

/// Placement without speeds, as the twin that `place` is compared with.
fn place_by_affinity(
    request: &PlacementRequest<'_>,
    upstreams: &[Arc<Upstream>],
    locality: &Locality,
    loads: &[Load],
) -> Option<Placement> {
    let load = |up: &Upstream| {
        loads[upstreams.iter().position(|known| known.id == up.id).expect("a known upstream")]
    };
    let is_prefill = |up: &&Arc<Upstream>| up.role == Some(EngineRole::Prefill);
    let prompt = request.prompt.filter(|prompt| prompt.tokens >= 2_500);
    let key = prompt.and_then(|prompt| prompt.shared_segment_ids().next_back());
    let mut ranked: Vec<&Arc<Upstream>> =
        upstreams.iter().filter(is_prefill).filter(|_| prompt.is_some()).collect();
    ranked
        .sort_by_key(|up| std::cmp::Reverse(affinity(key.unwrap_or(request.tie_breaker), &up.id)));
    let healthy: Vec<&Arc<Upstream>> =
        ranked.iter().copied().filter(|up| load(up).failure_rate < 0.5).take(2).collect();
    let prefill = healthy
        .iter()
        .find(|up| load(up).active_prefills < 3)
        .or_else(|| healthy.iter().min_by_key(|up| load(up).active_prefills))
        .or(ranked.first())
        .map(|up| (*up).clone());
    let domain = prefill.as_ref().map_or(&*locality.failure_domain, |up| &*up.failure_domain);
    let serving: Vec<&Arc<Upstream>> = upstreams.iter().filter(|up| !is_prefill(up)).collect();
    let max_slots = serving.iter().map(|up| up.slots).max()?;
    let cost = |up: &Upstream| {
        (f64::from(load(up).queued) + 1.0) * f64::from(max_slots) / f64::from(up.slots)
            + f64::from(locality.distance(domain, &up.failure_domain))
            + 20.0 * load(up).failure_rate
    };
    let best = serving.iter().map(|up| cost(up)).min_by(f64::total_cmp)?;
    let tied: Vec<_> = serving.iter().filter(|up| cost(up) <= best).collect();
    let connected: Vec<_> = tied.iter().filter(|up| load(up).is_connected).copied().collect();
    let pool = if connected.is_empty() { tied } else { connected };
    let index = usize::try_from(request.tie_breaker % pool.len() as u64).expect("an index");
    Some(Placement { prefill_upstream: prefill, upstream: (*pool[index]).clone() })
}

fn affinity(key: u64, id: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&key.to_le_bytes());
    hasher.update(id.as_bytes());
    let mut weight = [0; 8];
    hasher.finalize_xof().fill(&mut weight);
    u64::from_le_bytes(weight)
}

fn any_upstream() -> impl Strategy<Value = (Option<EngineRole>, u32, u32, Load)> {
    let role =
        prop::sample::select(vec![None, Some(EngineRole::Prefill), Some(EngineRole::Decode)]);
    let load = (0u32..4, 0u32..6, 0u32..4, any::<bool>(), 0u64..90_000).prop_map(
        |(queued, active_prefills, failures, is_connected, waiting_tokens)| Load {
            queued,
            active_prefills,
            failure_rate: f64::from(failures) * 0.2,
            is_connected,
            speed: 1.0,
            waiting_tokens,
        },
    );
    (role, 0u32..4, 1u32..3, load)
}

proptest! {
    #[test]
    fn even_upstreams_are_placed_as_without_speeds(
        rows in prop::collection::vec(any_upstream(), 1..24),
        segment in any::<u64>(),
        tokens in prop::option::of(1_000u64..20_000),
        tie_breaker in any::<u64>(),
    ) {
        let upstreams: Vec<Arc<Upstream>> = rows
            .iter()
            .enumerate()
            .map(|(index, (role, domain, slots, _))| {
                Arc::new(Upstream {
                    id: Arc::from(format!("i-{index}")),
                    started_at_ms: 1,
                    service: Arc::from("models"),
                    address: SocketAddr::from(([10, 0, 0, 1], 80)),
                    failure_domain: Arc::from(format!("d{domain}")),
                    slots: slots * 8,
                    is_draining: false,
                    role: *role,
                    is_reclaimable: false,
                })
            })
            .collect();
        let loads: Vec<Load> = rows.iter().map(|row| row.3).collect();
        let regions = ["d0", "d1", "d2"].map(|domain| (Arc::from(domain), Arc::from("r0")));
        let locality = Locality { failure_domain: Arc::from("d0"), regions: HashMap::from(regions) };
        let prompt = tokens.map(|tokens| Prompt {
            tokens,
            max_output_tokens: 10,
            segments: vec![
                PromptSegment { id: segment, tokens: tokens / 2 },
                PromptSegment { id: 1, tokens: tokens - tokens / 2 },
            ],
        });
        let request = PlacementRequest {
            prompt: prompt.as_ref(),
            may_disaggregate: true,
            preferred_domain: None,
            spreads_queues: false,
            tie_breaker,
        };
        let eligible: Vec<&Arc<Upstream>> = upstreams.iter().collect();
        let load = |up: &Upstream| {
            loads[upstreams.iter().position(|known| known.id == up.id).expect("a known upstream")]
        };
        prop_assert_eq!(
            place(&request, &eligible, &locality, load),
            place_by_affinity(&request, &upstreams, &locality, &loads)
        );
    }
}
