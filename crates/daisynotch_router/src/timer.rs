//! The one timer service of the process; parts subscribe to it.
//!
//! A subscriber that is still busy with the last tick gets no second one, so a
//! slow part never builds up a backlog of ticks. The service ends when its handle
//! and all subscriptions are gone.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

/// One tick of a subscription.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tick;

struct Subscription {
    interval: Duration,
    due_at: Instant,
    ticks: mpsc::Sender<Tick>,
}

/// Takes subscriptions.
#[derive(Debug, Clone)]
pub(crate) struct TimerService {
    subscriptions: mpsc::UnboundedSender<Subscription>,
}

impl TimerService {
    /// Starts the service's task.
    pub(crate) fn start() -> Self {
        let (subscriptions, receiver) = mpsc::unbounded_channel();
        tokio::spawn(run(receiver));
        Self { subscriptions }
    }

    /// Subscribes to a tick every `interval`; the first comes after one interval.
    pub(crate) fn subscribe(&self, interval: Duration) -> mpsc::Receiver<Tick> {
        let (ticks, receiver) = mpsc::channel(1);
        let due_at = Instant::now() + interval;
        let subscription = Subscription {
            interval,
            due_at,
            ticks,
        };
        // The service ends only with its last handle, so this can't fail while `self` lives.
        let _ = self.subscriptions.send(subscription);
        receiver
    }
}

async fn run(mut receiver: mpsc::UnboundedReceiver<Subscription>) {
    let mut subscriptions: Vec<Subscription> = Vec::new();
    let mut is_open = true;
    while is_open || !subscriptions.is_empty() {
        let next_due = subscriptions
            .iter()
            .map(|subscription| subscription.due_at)
            .min();
        let sleep = async {
            match next_due {
                Some(due_at) => tokio::time::sleep_until(due_at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            subscription = receiver.recv(), if is_open => match subscription {
                Some(subscription) => subscriptions.push(subscription),
                None => is_open = false,
            },
            () = sleep => fire(&mut subscriptions),
        }
    }
}

fn fire(subscriptions: &mut Vec<Subscription>) {
    let now = Instant::now();
    subscriptions.retain_mut(|subscription| {
        if subscription.due_at > now {
            return !subscription.ticks.is_closed();
        }
        subscription.due_at = now + subscription.interval;
        let sent = subscription.ticks.try_send(Tick);
        !matches!(sent, Err(mpsc::error::TrySendError::Closed(_)))
    });
}
