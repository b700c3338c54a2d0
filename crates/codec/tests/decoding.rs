//! Checks that no input makes a decoder panic, that damaged messages and snapshots are refused, and
//! that a snapshot restores the state it was made from.

use cowslip_authority::Holder;
use cowslip_codec::{
    DecodedRecord, ENTRY_SETTING_SECTIONS, FLEET_SETTING_SECTIONS, decode_log_entry,
    decode_peer_message, encode_log_entry, encode_peer_message, encode_snapshot, load_settings,
    parse_ticket, restore_snapshot, ticket_from_proto,
};
use cowslip_name::Name;
use cowslip_proto as proto;
use cowslip_state::{SnapshotAssembler, State, StateRecord};
use proptest::prelude::*;

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

fn workspace_ticket(number: u64, share_weight: u32) -> proto::Ticket {
    let workspace = proto::Workspace {
        name: name(&format!("workspace-{}", number % 700)),
        share_weight,
        max_in_flight: 1,
        deployments: vec![name("hay")],
        services: Vec::new(),
    };
    let objects = vec![proto::ObjectState::Workspace(workspace)];
    let reason = "änderung".to_owned();
    proto::Ticket { number, author: name("aino"), reason, objects }
}

fn heartbeat() -> proto::PeerRequest {
    proto::PeerRequest::Heartbeat(proto::Heartbeat {
        from: proto::Holder { instance: name("entry-1"), incarnation: 7 },
        failure_domain: name("uusimaa"),
        next_offset: 3,
        fresh_age_ms: None,
        in_flight: 1,
        draining: vec![name("engine-1")],
        suspects: Vec::new(),
        loads: Vec::new(),
    })
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic_a_decoder(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode_peer_message::<proto::PeerRequest>(&bytes);
        let _ = parse_ticket(&bytes);
        let text = String::from_utf8_lossy(&bytes);
        let _ = decode_log_entry(&text);
        let _ = load_settings::<proto::EntrySettings>(&text, &[], ENTRY_SETTING_SECTIONS);
        let _ = load_settings::<proto::FleetEntrySettings>(&text, &[], FLEET_SETTING_SECTIONS);
    }

    #[test]
    fn damaged_peer_message_never_decodes_to_the_original(cut in 0usize..100, flip in 0usize..100, bit in 0u8..8) {
        let encoded = encode_peer_message(&heartbeat()).expect("a heartbeat is within the size limit");
        let cut = cut % encoded.len();
        prop_assert!(decode_peer_message::<proto::PeerRequest>(&encoded[..cut]).is_err());
        let mut changed = encoded.clone();
        let flip = flip % changed.len();
        changed[flip] ^= 1 << bit;
        if let Ok(other) = decode_peer_message::<proto::PeerRequest>(&changed) {
            prop_assert_ne!(other, heartbeat());
        }
        let mut longer = encoded;
        longer.push(0);
        prop_assert!(decode_peer_message::<proto::PeerRequest>(&longer).is_err());
    }

    #[test]
    fn snapshot_restores_the_state_unless_damaged(numbers in prop::collection::btree_set(1u64..60_000, 0..600), missing in any::<prop::sample::Index>()) {
        let mut state = State::default();
        for (offset, number) in (0u64..).zip(&numbers) {
            let ticket = ticket_from_proto(&workspace_ticket(*number, 3)).expect("a valid ticket");
            state.apply(offset, &StateRecord::Ticket(ticket));
        }
        let writer = Holder { instance: name("entry-1"), incarnation: 1 };
        let entries: Vec<String> = encode_snapshot(&state, 9, &writer)
            .into_iter()
            .map(|chunk| encode_log_entry(&name("entry-1"), 0, vec![chunk]))
            .collect();
        let snapshot = assemble(entries.iter()).expect("a complete snapshot");
        prop_assert_eq!(restore_snapshot(&snapshot).expect("an undamaged snapshot"), state);
        // A snapshot that lacks a chunk is never complete, and one with changed content is refused.
        let missing = missing.index(entries.len());
        let incomplete = entries.iter().enumerate().filter(|(index, _)| *index != missing);
        prop_assert!(assemble(incomplete.map(|(_, entry)| entry)).is_none());
        let mut changed = snapshot;
        changed.content.push(' ');
        prop_assert!(restore_snapshot(&changed).is_err());
    }
}

fn assemble<'a>(
    entries: impl Iterator<Item = &'a String>,
) -> Option<cowslip_state::AssembledSnapshot> {
    let mut assembler = SnapshotAssembler::default();
    let mut complete = None;
    for entry in entries {
        for (_, decoded) in decode_log_entry(entry).expect("an entry written by this test").records
        {
            if let DecodedRecord::Snapshot(chunk) = decoded {
                complete = complete.or(assembler.on_chunk(chunk));
            }
        }
    }
    complete
}

#[test]
fn log_entry_of_another_version_is_refused() {
    let entry = encode_log_entry(&name("entry-1"), 0, Vec::new());
    let other_version = entry.replace("\"version\":1", "\"version\":2");
    assert!(decode_log_entry(&entry).is_ok());
    assert!(matches!(
        decode_log_entry(&other_version),
        Err(cowslip_codec::CodecError::Version { version: 2 })
    ));
}
