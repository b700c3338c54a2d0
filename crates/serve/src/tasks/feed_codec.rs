//! Encoding of feed messages, with counts of their messages and bytes.

use bytes::Bytes;
use cowslip_codec::{
    CodecError, compress_peer_message, decode_peer_message, decompress_peer_message,
    encode_peer_message, peer_message_bytes,
};
use cowslip_proto as proto;

use crate::metrics::Metrics;

/// Whether this instance sends or receives a message.
#[derive(Clone, Copy, Debug)]
enum Direction {
    Sent,
    Received,
}

impl Direction {
    fn label(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// Encodes and decodes feed messages, and counts them.
#[derive(Clone, Debug)]
pub(super) struct FeedCodec {
    metrics: Metrics,
}

impl FeedCodec {
    pub(super) fn new(metrics: Metrics) -> Self {
        Self { metrics }
    }

    pub(super) fn encode_request(&self, request: &proto::FeedRequest) -> Result<Bytes, CodecError> {
        let encoded = encode_peer_message(request)?;
        self.count_request(Direction::Sent, request, encoded.len());
        Ok(self.compress(&encoded))
    }

    pub(super) fn decode_request(&self, bytes: &[u8]) -> Result<proto::FeedRequest, CodecError> {
        let encoded = self.decompress(bytes)?;
        let request = decode_peer_message(&encoded)?;
        self.count_request(Direction::Received, &request, encoded.len());
        Ok(request)
    }

    pub(super) fn encode_reply(&self, reply: &proto::FeedReply) -> Result<Bytes, CodecError> {
        let encoded = encode_peer_message(reply)?;
        self.count_reply(Direction::Sent, reply, encoded.len());
        Ok(self.compress(&encoded))
    }

    pub(super) fn decode_reply(&self, bytes: &[u8]) -> Result<proto::FeedReply, CodecError> {
        let encoded = self.decompress(bytes)?;
        let reply = decode_peer_message(&encoded)?;
        self.count_reply(Direction::Received, &reply, encoded.len());
        Ok(reply)
    }

    fn compress(&self, encoded: &[u8]) -> Bytes {
        let compressed = compress_peer_message(encoded);
        self.count_bytes(Direction::Sent, "compressed", compressed.len());
        Bytes::from(compressed)
    }

    fn decompress(&self, bytes: &[u8]) -> Result<Vec<u8>, CodecError> {
        self.count_bytes(Direction::Received, "compressed", bytes.len());
        decompress_peer_message(bytes)
    }

    fn count_request(
        &self,
        direction: Direction,
        request: &proto::FeedRequest,
        total_bytes: usize,
    ) {
        self.metrics.feeds.with_label_values(&["request", direction.label()]).inc();
        let fields = [
            ("starts", peer_message_bytes(&request.starts)),
            ("finalized", peer_message_bytes(&request.finalized)),
            ("suspects", peer_message_bytes(&request.suspects)),
            ("roster_digests", peer_message_bytes(&request.roster_digests)),
            ("allowances", peer_message_bytes(&request.allowances)),
        ];
        self.count_fields(direction, total_bytes, &fields);
    }

    fn count_reply(&self, direction: Direction, reply: &proto::FeedReply, total_bytes: usize) {
        self.metrics.feeds.with_label_values(&["reply", direction.label()]).inc();
        let fields = [
            ("roster", peer_message_bytes(&reply.roster)),
            ("suspects", peer_message_bytes(&reply.suspects)),
            ("instances", peer_message_bytes(&reply.instances)),
            ("declaration", peer_message_bytes(&reply.declaration)),
            ("allowances", peer_message_bytes(&reply.allowances)),
        ];
        self.count_fields(direction, total_bytes, &fields);
    }

    fn count_fields(&self, direction: Direction, total_bytes: usize, fields: &[(&str, usize)]) {
        let listed_bytes = fields.iter().map(|(_, bytes)| bytes).sum();
        for (field, bytes) in fields {
            self.count_bytes(direction, field, *bytes);
        }
        self.count_bytes(direction, "other", total_bytes.saturating_sub(listed_bytes));
    }

    fn count_bytes(&self, direction: Direction, field: &str, bytes: usize) {
        let counter = self.metrics.feed_bytes.with_label_values(&[field, direction.label()]);
        counter.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }
}
