//! The admission controller, its settings and its pending events.

use heathspur::{Action, AdmissionController, ClassId, Event, Idempotency, Settings, Time};

/// The admission controller and its pending events. The controller is created when the interpreter connects or the
/// first request arrives, whichever is first, because the warm-up of the machine begins then.
pub(crate) struct Controller {
    settings: Settings,
    seed: u64,
    admission: Option<AdmissionController>,
    events: Vec<Event>,
}

impl Controller {
    /// Creates a controller that has not started.
    pub fn new(settings: Settings, seed: u64) -> Controller {
        Controller {
            settings,
            seed,
            admission: None,
            events: Vec::new(),
        }
    }

    /// Returns the settings in effect.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns whether a request of this class may be run more than once.
    pub fn is_idempotent(&self, class: ClassId) -> bool {
        self.settings.classes[class.0].idempotency == Idempotency::Idempotent
    }

    /// Returns whether the controller has started.
    pub fn is_started(&self) -> bool {
        self.admission.is_some()
    }

    /// Starts the controller as of the time `started`, and appends its first actions. `cold` states whether the machine
    /// still has to warm up.
    pub fn start(&mut self, cold: bool, started: Time, actions: &mut Vec<Action>) {
        self.settings.cold_start = cold;
        let mut admission = AdmissionController::new(self.settings.clone(), self.seed);
        admission.decide(started, &[], actions);
        self.admission = Some(admission);
    }

    /// Adds an event to the batch of the next decision.
    pub fn push(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Returns whether events wait for a decision.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Passes all pending events to the controller as one batch and appends its actions. Returns the concurrency limit,
    /// or `None` if there are no events or the controller has not started.
    pub fn decide(&mut self, now: Time, actions: &mut Vec<Action>) -> Option<f64> {
        if self.events.is_empty() {
            return None;
        }
        let admission = self.admission.as_mut()?;
        admission.decide(now, &self.events, actions);
        self.events.clear();
        Some(admission.concurrency_limit())
    }
}
