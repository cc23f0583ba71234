//! What a router reports of a request whose engine crashed.

use daisynotch_objects::EndpointId;

use super::PartIds;

/// How far the answer to an open request had come when its engine crashed.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum AnswerStage {
    /// Nothing of it had arrived.
    Waiting,
    /// The head of the response had arrived, but no event.
    Head,
    /// Events had arrived, or all of a short answer, which the engine has not outlived by long enough
    /// to prove the parts of the prompt.
    Begun,
}

/// The point of an answer at which a fatal part crashes engines.
///
/// It is the same in all crashes that a part causes, while ordinary crashes meet answers at any
/// point. Therefore evidence on the two points is kept apart.
#[daisynotch_macros::value]
#[derive(Copy, Hash)]
pub(super) enum CrashPoint {
    /// Before the first event.
    BeforeFirstEvent,
    /// Shortly after it.
    AfterFirstEvent,
}

impl CrashPoint {
    pub(super) const ALL: [Self; 2] = [Self::BeforeFirstEvent, Self::AfterFirstEvent];
}

impl AnswerStage {
    /// Returns the point at which the request may have crashed its engine.
    pub(super) fn crash_point(self) -> CrashPoint {
        match self {
            Self::Waiting | Self::Head => CrashPoint::BeforeFirstEvent,
            Self::Begun => CrashPoint::AfterFirstEvent,
        }
    }
}

/// A request that was at an engine when its connection broke.
#[daisynotch_macros::value]
pub struct OpenRun {
    /// The engine start that had the request.
    pub endpoint: EndpointId,
    /// The shared parts of the prompt; none if the engine has outlived the beginning of the answer
    /// by long enough to prove them.
    pub parts: PartIds,
    /// How far the answer had come.
    pub stage: AnswerStage,
    /// Whether the request was a trial of a suspect part.
    pub is_trial: bool,
}
