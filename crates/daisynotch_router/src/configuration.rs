//! Fetches, validates and applies new revisions of the objects.
//!
//! The core decides which source to ask and when. This task calls the key-value service,
//! validates what the service or a peer returned, and passes the objects to the core along
//! with their encoded form for peers. Reads run in separate tasks, so a slow service does
//! not delay what a peer sent. See `docs/design/configuration.md`.

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

/// The number of recent edits kept for peers whose revision is slightly older.
const EDITS_MAX: usize = 64;
/// The longest edit that is kept; peers fetch all objects instead of a longer one.
const EDIT_MAX_BYTES: usize = 64 * 1024;

/// Why new objects are rejected.
#[derive(Debug, thiserror::Error)]
enum ObjectsError {
    #[error("the payload can't be decoded: {0}")]
    Payload(#[from] payload::PayloadError),
    #[error("the objects are invalid: {0}")]
    Check(#[from] CheckError),
}

/// The result of a read of the key-value service.
enum ReadResult {
    Head(Result<Revision, StoreError>),
    Newest(Result<Box<Snapshot>, StoreError>),
}

/// Validated objects, in the forms that the core and peers need.
struct CheckedObjects {
    snapshot: Arc<Snapshot>,
    catalogue: Arc<Catalogue>,
    whole: bytes::Bytes,
    edit: Option<EditPayload>,
}

/// Returns an observer that counts calls to the key-value service by use and result.
pub(crate) fn call_counter(metrics: Arc<Metrics>) -> CallObserver {
    Arc::new(move |call_use, result| {
        let labels = [call_use.to_string(), result.to_string()];
        let calls = &metrics.key_value_calls;
        calls.with_label_values(&labels).inc();
    })
}

/// Carries out the core's configuration actions until their channel closes.
pub(crate) async fn follow(
    store: ConfigStore,
    core: CoreHandle,
    metrics: Arc<Metrics>,
    mut actions: mpsc::UnboundedReceiver<ConfigurationAction>,
) {
    let (read_sender, mut reads) = mpsc::unbounded_channel();
    let mut task = ConfigurationTask {
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
                Some(action) => task.run(action).await,
                None => return,
            },
            Some(read) = reads.recv() => task.on_read(read).await,
        }
    }
}

/// The task's state, with the objects and edits that this router has.
struct ConfigurationTask {
    store: ConfigStore,
    core: CoreHandle,
    metrics: Arc<Metrics>,
    read_sender: mpsc::UnboundedSender<ReadResult>,
    snapshot: Arc<Snapshot>,
    edits: Vec<EditPayload>,
}

/// Reads the objects if the service has newer ones.
///
/// Most reads find nothing new, and rebuilding the objects of 20,000 teams takes far longer
/// than reading the head.
async fn read_newer(store: &ConfigStore, known: &Snapshot) -> ReadResult {
    match store.head().await {
        Ok(stored) if stored.head.revision <= known.revision => {
            ReadResult::Head(Ok(stored.head.revision))
        }
        Ok(_) => {
            let read = store.read_from(known).await;
            ReadResult::Newest(read.map(|stored| Box::new(stored.snapshot)))
        }
        Err(error) => ReadResult::Head(Err(error)),
    }
}

impl ConfigurationTask {
    async fn run(&mut self, action: ConfigurationAction) {
        match action {
            ConfigurationAction::ReadHead => self.read_head(),
            ConfigurationAction::ReadService => self.read_service(),
            ConfigurationAction::ApplyPayload { from, payload } => {
                self.apply_payload(from, payload).await;
            }
            // The core itself sends these messages to peers.
            ConfigurationAction::RequestPiece { .. } => {}
        }
    }

    fn read_head(&self) {
        let store = self.store.clone();
        let sender = self.read_sender.clone();
        tokio::spawn(async move {
            let head = store.head().await.map(|stored| stored.head.revision);
            let _ = sender.send(ReadResult::Head(head));
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

    async fn on_read(&mut self, read: ReadResult) {
        let outcome = match read {
            ReadResult::Head(Ok(revision)) => ServiceRead::Newest(revision),
            ReadResult::Newest(Ok(snapshot)) => self.apply_from_service(*snapshot).await,
            ReadResult::Head(Err(error)) | ReadResult::Newest(Err(error)) => {
                log::warn!(
                    "could not read the objects from the key-value service; \
                     the last revision stays in force: {error}"
                );
                ServiceRead::Failed
            }
        };
        self.core.input(Input::ServiceRead(outcome));
    }

    async fn apply_from_service(&mut self, snapshot: Snapshot) -> ServiceRead {
        let revision = snapshot.revision;
        if revision <= self.snapshot.revision {
            return ServiceRead::Newest(revision);
        }
        let base = Arc::clone(&self.snapshot);
        let checked = run_blocking(move || check(&base, snapshot)).await;
        match checked {
            Ok(checked) => {
                self.apply(checked);
                ServiceRead::Newest(revision)
            }
            Err(error) => {
                log::error!("rejected revision {revision} from the key-value service: {error}");
                ServiceRead::Failed
            }
        }
    }

    async fn apply_payload(&mut self, from: RouterId, payload: bytes::Bytes) {
        let base = Arc::clone(&self.snapshot);
        let decode_and_check = move || {
            let snapshot = payload::decode(&base, &payload)?;
            check(&base, snapshot)
        };
        match run_blocking(decode_and_check).await {
            Ok(checked) => self.apply(checked),
            Err(error) => {
                log::warn!(from = from.0; "rejected the newer objects that a router sent: {error}");
                self.core.input(Input::PayloadRefused { from });
            }
        }
    }

    /// Passes validated objects to the core, unless a newer revision was applied meanwhile.
    fn apply(&mut self, checked: CheckedObjects) {
        let revision = checked.snapshot.revision;
        if revision > self.snapshot.revision {
            log::info!(revision = revision.0; "applied a new revision of the objects");
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
        // The core ignores a revision that is not newer, but needs to know that the action ended.
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

/// Validates objects and prepares the forms that the core and peers need.
fn check(base: &Snapshot, snapshot: Snapshot) -> Result<CheckedObjects, ObjectsError> {
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
    Ok(CheckedObjects {
        catalogue: Arc::new(Catalogue::new(snapshot.revision, &snapshot.objects)),
        whole: payload::encode_whole(&snapshot),
        edit,
        snapshot: Arc::new(snapshot),
    })
}

/// Runs CPU-bound work on a blocking thread, so it does not delay other tasks of the runtime.
async fn run_blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let done = tokio::task::spawn_blocking(work).await;
    done.expect("validating objects does not panic")
}

#[cfg(test)]
mod tests;
