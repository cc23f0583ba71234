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

fn length_of(message: PeerMessage) -> usize {
    let mut buffer = BytesMut::new();
    let frame = Frame::Messages(vec![message]);
    FrameCodec::default()
        .encode(&frame, &mut buffer)
        .expect("the frame is short");
    buffer.len()
}

/// The 75 bytes are the letter's 2 KB a second a daemon over 26 requests a second.
#[test]
fn a_request_takes_at_most_75_bytes_of_control() {
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
    let total = length_of(ticket) + length_of(grant) + length_of(release);
    println!("a request takes {total} bytes");
    assert!(total <= 75, "{total}");
}

#[test]
fn garbage_is_an_error_and_not_a_panic() {
    bolero::check!().for_each(|bytes| {
        let mut buffer = BytesMut::from(bytes);
        let mut codec = FrameCodec::default();
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
    });
}
