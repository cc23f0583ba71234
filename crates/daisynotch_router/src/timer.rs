//! The process-wide timer service, to which tasks subscribe.
//!
//! A subscriber that has not yet received its last tick gets no further one, so a slow task
//! never accumulates a backlog of ticks. The service ends when all handles and all
//! subscriptions have been dropped.

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

/// A handle for subscribing to the timer service.
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

    /// Subscribes to a tick every `interval`, the first of which is sent after one interval.
    pub(crate) fn subscribe(&self, interval: Duration) -> mpsc::Receiver<Tick> {
        let (ticks, receiver) = mpsc::channel(1);
        let due_at = Instant::now() + interval;
        let subscription = Subscription {
            interval,
            due_at,
            ticks,
        };
        // The service runs as long as a handle exists, so sending can't fail.
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
