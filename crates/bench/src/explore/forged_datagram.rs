//! Datagrams that no correct daemon sends, for the safety rules that a simulation disables.

use foxtaildrift::process::datagram::{Datagram, Message};
use foxtaildrift::process::session_facts::SessionFacts;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::MemberInfo;
use foxtaildrift::version::session_id::SessionId;

/// Returns the grant for a `renewal` by a witness that has lost its end statement for the session,
/// or `None` if the datagram is no renewal.
pub fn grant(witness: &MemberInfo, renewal: &Datagram) -> Option<Datagram> {
    let Message::Renew {
        session,
        sent,
        epoch,
    } = renewal.message
    else {
        return None;
    };
    let message = Message::Grant {
        session,
        sent,
        epoch,
        routing_age: None,
    };
    Some(Datagram {
        from: witness.session.instance,
        peer: witness.peer,
        message,
        ..renewal.clone()
    })
}

/// Returns the announcement that `session` has ended, as the daemon `recipient` accepts it.
pub fn resignation(session: SessionId, recipient: &MemberInfo) -> Datagram {
    Datagram {
        cell_hash: 1,
        from: InstanceId(u64::MAX),
        peer: recipient.peer,
        epoch: Epoch::default(),
        document_version: DocumentVersion::default(),
        message: Message::Facts(SessionFacts::from_resigned([(session, Epoch(1))])),
    }
}
