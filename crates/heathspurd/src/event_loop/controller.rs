//! The admission controller with its settings and the events that it has not seen yet.

use heathspur::{Action, AdmissionController, Event, Settings, Time};

/// The admission controller and its pending events. It starts with the interpreter, or with the first request: from then on the machine warms up.
pub(crate) struct Controller {
    settings: Settings,
    seed: u64,
    admission: Option<AdmissionController>,
    events: Vec<Event>,
}

impl Controller {
    /// A controller that has not started.
    pub fn new(settings: Settings, seed: u64) -> Controller {
        Controller {
            settings,
            seed,
            admission: None,
            events: Vec::new(),
        }
    }

    /// The settings in effect.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Whether the controller has started.
    pub fn is_started(&self) -> bool {
        self.admission.is_some()
    }

    /// Creates the controller as of the given time; its first actions are appended.
    pub fn start(&mut self, cold: bool, started: Time, actions: &mut Vec<Action>) {
        self.settings.cold_start = cold;
        let mut admission = AdmissionController::new(self.settings.clone(), self.seed);
        admission.decide(started, &[], actions);
        self.admission = Some(admission);
    }

    /// Records an event for the next decision.
    pub fn push(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Whether events wait for a decision.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Decides on all events at once and appends the actions. Returns the concurrency limit, or nothing where there
    /// was nothing to decide.
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
