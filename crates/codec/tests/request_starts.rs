//! Checks that the request starts of all windows survive encoding and decoding.

use std::sync::Arc;

use cowslip_codec::{
    decode_peer_message, encode_peer_message, start_windows_from_proto, start_windows_to_proto,
};
use cowslip_proto as proto;
use cowslip_usage::StartWindows;
use proptest::prelude::*;

proptest! {
    #[test]
    fn start_windows_survive_encoding_and_decoding(
        rows in prop::collection::vec((any::<u64>(), "[a-z]{1,8}", any::<u64>()), 0..40)
    ) {
        let mut windows = StartWindows::new();
        for (window, workspace, starts) in rows {
            windows.entry(window).or_default().insert(Arc::from(workspace), starts);
        }
        let entry = proto::RequestStartEntry { windows: start_windows_to_proto(&windows) };
        let bytes = encode_peer_message(&entry).expect("a message within the size limit");
        let entry: proto::RequestStartEntry = decode_peer_message(&bytes).expect("a valid message");
        prop_assert_eq!(start_windows_from_proto(entry.windows), windows);
    }
}
