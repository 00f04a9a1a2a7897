//! Orders of shared services that were given here, so that a repeated call is not run again.

use std::collections::HashMap;
use std::time::Duration;

use crate::connection::peer_message::PeerReply;
use crate::process::moment::Moment;
use crate::request::request_id::RequestId;

/// How long an ended order that may not be repeated is remembered after its deadline.
const REMEMBERED: Duration = Duration::from_secs(5);
/// How long a repeatable one is remembered after its end, for calls that have just joined it.
const REPEATABLE_REMEMBERED: Duration = Duration::from_millis(500);
/// How often those that need not be remembered any more are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// An order, with its reply once there is one.
#[derive(Debug)]
struct Order {
    until: Moment,
    reply: Option<PeerReply>,
}

/// The orders of shared services that run or have just ended.
#[derive(Debug, Default)]
pub struct RecentSharedRequests {
    orders: HashMap<RequestId, Order>,
    swept: Moment,
}

impl RecentSharedRequests {
    /// Notes that an order begins; returns whether it is the first of its identity.
    pub fn begin(&mut self, now: Moment, id: RequestId, deadline: Moment) -> bool {
        if now.since(self.swept) > SWEEP_INTERVAL {
            self.swept = now;
            self.orders
                .retain(|_, o| o.until > now || o.reply.is_none());
        }
        let known = self.orders.get(&id);
        if known.is_some_and(|o| o.until > now || o.reply.is_none()) {
            return false;
        }
        self.orders.insert(
            id,
            Order {
                until: deadline + REMEMBERED,
                reply: None,
            },
        );
        true
    }

    /// Notes the reply to an order; that of a repeatable one is remembered for a moment only.
    pub fn finish(&mut self, now: Moment, id: RequestId, reply: &PeerReply, repeatable: bool) {
        let Some(order) = self.orders.get_mut(&id) else {
            return;
        };
        order.reply = Some(reply.clone());
        if repeatable {
            order.until = now + REPEATABLE_REMEMBERED;
        }
    }

    /// Returns whether an order is running.
    pub fn is_running(&self, id: RequestId) -> bool {
        self.orders.get(&id).is_some_and(|o| o.reply.is_none())
    }

    /// Returns the reply to an order, where it is known.
    pub fn reply(&self, id: RequestId) -> Option<PeerReply> {
        self.orders.get(&id)?.reply.clone()
    }
}
