use daisynotch_core::{
    Cost, EndpointId, Grant, LengthClass, PeerMessage, PoolId, Release, ReleaseReason, ShardId,
    TeamId, Ticket, TicketSeq, ZoneId,
};

use super::*;

fn shard() -> ShardId {
    ShardId {
        pool: PoolId(u32::MAX),
        zone: ZoneId(u32::MAX),
    }
}

fn encoded_len(message: PeerMessage) -> usize {
    let mut buffer = BytesMut::new();
    let frame = Frame::Messages(vec![message]);
    FrameCodec::default()
        .encode(&frame, &mut buffer)
        .expect("a frame with one message is shorter than the maximum");
    buffer.len()
}

/// The limit of 2 KB of control traffic per second and daemon, divided by 26 requests per
/// second, leaves 75 bytes for each request.
#[test]
fn control_messages_of_a_request_take_at_most_75_bytes() {
    let seq = TicketSeq(5_000_000);
    let ticket = PeerMessage::Ticket(Ticket {
        seq,
        shard: shard(),
        team: TeamId(u64::MAX),
        hint: Cost(4_000),
        class: LengthClass::Short,
        prefix: None,
        avoid: None,
        waited_ms: 0,
    });
    let grant = PeerMessage::Grant(Grant {
        seq,
        endpoint: EndpointId(u32::MAX),
        valid_after_sent_ms: 1_500,
    });
    let release = PeerMessage::Release(Release {
        seq,
        endpoint: EndpointId(u32::MAX),
        reason: ReleaseReason::Done,
        cost: Cost(4_000),
        first_token_ms: Some(300),
        token_gap_us: Some(50_000),
    });
    let total = encoded_len(ticket) + encoded_len(grant) + encoded_len(release);
    println!("the control messages of a request take {total} bytes");
    assert!(total <= 75, "{total}");
}

#[test]
fn decoding_arbitrary_bytes_does_not_panic() {
    bolero::check!().for_each(|bytes| {
        let mut buffer = BytesMut::from(bytes);
        let mut codec = FrameCodec::default();
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
    });
}
