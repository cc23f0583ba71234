//! Reads, checks and takes the objects that the core wants.
//!
//! The core decides whom to ask and when; this task makes the calls of the
//! key-value service, checks what a service or a peer gave, and hands the core the
//! objects together with their encoded form for peers. Reads run beside the task,
//! so that a slow service does not hold up what a peer sent. See
//! `docs/design/configuration.md`.

mod payload;

use std::sync::Arc;

use daisynotch_core::{
    Catalogue, ConfigurationAction, EditPayload, Input, Replica, Revision, RouterId, ServiceRead,
};
use daisynotch_objects::{CheckError, Edit, Snapshot};
use daisynotch_platform::{CallObserver, ConfigStore, StoreError};
use tokio::sync::mpsc;

use crate::core_task::CoreHandle;
use crate::metrics::Metrics;

/// The edits that are kept for peers that are a little behind.
const EDITS_MAX: usize = 64;
/// The longest edit that is kept; a longer one is fetched as the whole.
const EDIT_MAX_BYTES: usize = 64 * 1024;

/// Why objects are not taken.
#[derive(Debug, thiserror::Error)]
enum RefusedError {
    #[error("it can't be read: {0}")]
    Payload(#[from] payload::PayloadError),
    #[error("it has errors: {0}")]
    Check(#[from] CheckError),
}

/// What a read of the service gave.
enum Read {
    Head(Result<Revision, StoreError>),
    Newest(Result<Box<Snapshot>, StoreError>),
}

/// Objects that were checked, in every form that is needed.
struct Checked {
    snapshot: Arc<Snapshot>,
    catalogue: Arc<Catalogue>,
    whole: bytes::Bytes,
    edit: Option<EditPayload>,
}

/// Gives the observer that counts calls of the key-value service by use.
pub(crate) fn call_counter(metrics: Arc<Metrics>) -> CallObserver {
    Arc::new(move |call_use, result| {
        let labels = [call_use.to_string(), result.to_string()];
        let calls = &metrics.key_value_calls;
        calls.with_label_values(&labels).inc();
    })
}

/// Does what the core asks for until its channel closes.
pub(crate) async fn follow(
    store: ConfigStore,
    core: CoreHandle,
    metrics: Arc<Metrics>,
    mut actions: mpsc::UnboundedReceiver<ConfigurationAction>,
) {
    let (read_sender, mut reads) = mpsc::unbounded_channel();
    let mut local = Local {
        store,
        core,
        metrics,
        read_sender,
        snapshot: Arc::default(),
        edits: Vec::new(),
    };
    loop {
        tokio::select! {
            action = actions.recv() => match action {
                Some(action) => local.run(action).await,
                None => return,
            },
            Some(read) = reads.recv() => local.on_read(read).await,
        }
    }
}

/// What this router has.
struct Local {
    store: ConfigStore,
    core: CoreHandle,
    metrics: Arc<Metrics>,
    read_sender: mpsc::UnboundedSender<Read>,
    snapshot: Arc<Snapshot>,
    edits: Vec<EditPayload>,
}

/// Reads the objects if the service has newer ones.
///
/// Most reads find nothing new, and building the objects of 20,000 teams anew takes
/// far longer than a look at the head.
async fn read_newer(store: &ConfigStore, known: &Snapshot) -> Read {
    match store.head().await {
        Ok(stored) if stored.head.revision <= known.revision => {
            Read::Head(Ok(stored.head.revision))
        }
        Ok(_) => {
            let read = store.read_from(known).await;
            Read::Newest(read.map(|stored| Box::new(stored.snapshot)))
        }
        Err(error) => Read::Head(Err(error)),
    }
}

impl Local {
    async fn run(&mut self, action: ConfigurationAction) {
        match action {
            ConfigurationAction::ReadHead => self.read_head(),
            ConfigurationAction::ReadService => self.read_service(),
            ConfigurationAction::ApplyPayload { from, payload } => {
                self.take_payload(from, payload).await;
            }
            // The core sends these itself.
            ConfigurationAction::RequestPiece { .. } => {}
        }
    }

    fn read_head(&self) {
        let store = self.store.clone();
        let sender = self.read_sender.clone();
        tokio::spawn(async move {
            let head = store.head().await.map(|stored| stored.head.revision);
            let _ = sender.send(Read::Head(head));
        });
    }

    fn read_service(&self) {
        let store = self.store.clone();
        let sender = self.read_sender.clone();
        let known = Arc::clone(&self.snapshot);
        tokio::spawn(async move {
            let _ = sender.send(read_newer(&store, &known).await);
        });
    }

    async fn on_read(&mut self, read: Read) {
        let outcome = match read {
            Read::Head(Ok(revision)) => ServiceRead::Newest(revision),
            Read::Newest(Ok(snapshot)) => self.take_from_service(*snapshot).await,
            Read::Head(Err(error)) | Read::Newest(Err(error)) => {
                log::warn!("the objects can't be read, the last revision stays in force: {error}");
                ServiceRead::Failed
            }
        };
        self.core.input(Input::ServiceRead(outcome));
    }

    async fn take_from_service(&mut self, snapshot: Snapshot) -> ServiceRead {
        let revision = snapshot.revision;
        if revision <= self.snapshot.revision {
            return ServiceRead::Newest(revision);
        }
        let base = Arc::clone(&self.snapshot);
        let checked = in_background(move || check(&base, snapshot)).await;
        match checked {
            Ok(checked) => {
                self.take(checked);
                ServiceRead::Newest(revision)
            }
            Err(error) => {
                log::error!("revision {revision} of the key-value service is not taken: {error}");
                ServiceRead::Failed
            }
        }
    }

    async fn take_payload(&mut self, from: RouterId, payload: bytes::Bytes) {
        let base = Arc::clone(&self.snapshot);
        let decode_and_check = move || {
            let snapshot = payload::decode(&base, &payload)?;
            check(&base, snapshot)
        };
        match in_background(decode_and_check).await {
            Ok(checked) => self.take(checked),
            Err(error) => {
                log::warn!(from = from.0; "what a router sent as newer objects is not taken: {error}");
                self.core.input(Input::PayloadRefused { from });
            }
        }
    }

    /// Hands checked objects to the core, unless newer ones came meanwhile.
    fn take(&mut self, checked: Checked) {
        let revision = checked.snapshot.revision;
        if revision > self.snapshot.revision {
            log::info!(revision = revision.0; "objects taken");
            self.snapshot = checked.snapshot;
            self.keep_edit(checked.edit);
            let replica = Replica {
                revision,
                whole: checked.whole,
                edits: self.edits.clone(),
            };
            let revision = i64::try_from(revision.0).unwrap_or(i64::MAX);
            self.metrics.revision.set(revision);
            self.core.input(Input::Replica(Arc::new(replica)));
        }
        // The core passes over a revision that is not newer, but learns that this is done.
        self.core.input(Input::Configured(checked.catalogue));
    }

    fn keep_edit(&mut self, edit: Option<EditPayload>) {
        let Some(edit) = edit.filter(|edit| edit.bytes.len() <= EDIT_MAX_BYTES) else {
            self.edits.clear();
            return;
        };
        self.edits.push(edit);
        if self.edits.len() > EDITS_MAX {
            self.edits.remove(0);
        }
    }
}

/// Checks objects as a whole and prepares what the core and peers need of them.
fn check(base: &Snapshot, snapshot: Snapshot) -> Result<Checked, RefusedError> {
    let errors = daisynotch_objects::check(&snapshot.objects);
    if let Some(error) = errors.into_iter().next() {
        return Err(error.into());
    }
    let has_base = base.revision > Revision::default();
    let edit = has_base.then(|| {
        let edit = Edit::between(&base.objects, &snapshot.objects);
        EditPayload {
            from: base.revision,
            to: snapshot.revision,
            bytes: payload::encode_edit(base.revision, &snapshot, edit),
        }
    });
    Ok(Checked {
        catalogue: Arc::new(Catalogue::new(snapshot.revision, &snapshot.objects)),
        whole: payload::encode_whole(&snapshot),
        edit,
        snapshot: Arc::new(snapshot),
    })
}

/// Runs work on many objects without holding up the runtime's other tasks.
async fn in_background<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let done = tokio::task::spawn_blocking(work).await;
    done.expect("checking objects does not panic")
}

#[cfg(test)]
mod tests;
