//! Encoding of frames and datagrams: a round trip preserves values, and truncated input is refused.

use std::io::Cursor;
use std::time::Duration;

use foxtaildrift::connection::frame;
use foxtaildrift::connection::peer_message::{PeerReply, PeerRequest};
use foxtaildrift::process::datagram::{Datagram, Message};
use foxtaildrift::process::session_facts::SessionFacts;
use foxtaildrift::process::wall_time::WallTime;
use foxtaildrift::request::body::Body;
use foxtaildrift::request::envelope::Envelope;
use foxtaildrift::request::idempotency_key::IdempotencyKey;
use foxtaildrift::request::refusal::Refusal;
use foxtaildrift::request::request_id::RequestId;
use foxtaildrift::request::service_response::ServiceResponse;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::key_hash::KeyHash;

fn envelope() -> Envelope {
    Envelope {
        id: RequestId::generate(),
        service: "order-desk".parse().unwrap(),
        method: "POST".to_owned(),
        path: "/bookings?day=3".to_owned(),
        key: b"member-17".to_vec(),
        idempotency_key: Some(IdempotencyKey::generate()),
        fresh_until: Some(WallTime(9)),
        repeatable: false,
        remaining: Duration::from_millis(250),
        content_type: Some("text/plain".to_owned()),
        body: Body(vec![0, 1, 2, 255].into()),
    }
}

#[test]
fn requests_and_replies_survive_a_round_trip_in_frames() {
    let request = PeerRequest::Forward(envelope());
    let mut bytes = Vec::new();
    frame::write(&mut bytes, &request).unwrap();
    assert_eq!(
        frame::read::<PeerRequest>(&mut Cursor::new(&bytes)).unwrap(),
        request
    );
    let reply = PeerReply::Response(ServiceResponse::not_run(Refusal::Overloaded(
        "full".to_owned(),
    )));
    let mut bytes = Vec::new();
    frame::write(&mut bytes, &reply).unwrap();
    assert_eq!(
        frame::read::<PeerReply>(&mut Cursor::new(&bytes)).unwrap(),
        reply
    );
}

#[test]
fn truncated_frames_are_refused_at_every_length() {
    let mut bytes = Vec::new();
    frame::write(&mut bytes, &PeerRequest::Forward(envelope())).unwrap();
    for length in 0..bytes.len() {
        let result = frame::read::<PeerRequest>(&mut Cursor::new(&bytes[..length]));
        assert!(result.is_err(), "{length} of {} bytes", bytes.len());
    }
}

#[test]
fn frames_with_a_length_above_the_maximum_are_refused_before_they_are_read() {
    let bytes = u32::MAX.to_be_bytes();
    let result = frame::read::<PeerRequest>(&mut Cursor::new(&bytes));
    assert!(matches!(result, Err(frame::FrameError::TooLarge(_))));
}

#[test]
fn datagrams_survive_a_round_trip_and_invalid_ones_are_refused() {
    let datagram = Datagram {
        cell_hash: 1,
        from: InstanceId(2),
        peer: ([127, 0, 0, 1], 7400).into(),
        epoch: Epoch(3),
        document_version: DocumentVersion::from(4_u64),
        message: Message::Facts(SessionFacts::default()),
    };
    let bytes = datagram.encode().unwrap();
    assert_eq!(Datagram::decode(&bytes).unwrap(), datagram);
    for length in 0..bytes.len() {
        assert!(Datagram::decode(&bytes[..length]).is_err());
    }
    assert!(Datagram::decode(&[0xff; 64]).is_err());
}

#[test]
fn a_request_without_a_key_is_routed_by_its_idempotency_key() {
    let mut envelope = envelope();
    assert_eq!(envelope.routing_hash(), KeyHash::of(b"member-17"));
    envelope.key.clear();
    assert_eq!(
        envelope.routing_hash(),
        envelope.idempotency_key.unwrap().key_hash()
    );
}
