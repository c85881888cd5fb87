//! The servers of one run of the simulator, and the batch in progress.

use crate::convert;
use crate::error::LineError;
use crate::messages::incoming::{BeginBatch, Incoming, StartServer};
use crate::messages::outgoing::Outgoing;
use heathspur::{Action, AdmissionController, Event, RequestId, Span, Time};
use heathspur_settings::{ProtocolNames, ServerSettings};
use std::collections::BTreeMap;

/// A server of the simulator, with its admission controller.
struct Server {
    controller: AdmissionController,
    names: ProtocolNames,
    /// The server's events in the batch in progress.
    events: Vec<Event>,
    /// Whether the server has started or received an event in the batch in progress.
    needs_decision: bool,
}

impl Server {
    fn new(message: StartServer) -> Server {
        let ServerSettings { admission, names } = message.settings.into();
        Server {
            controller: AdmissionController::new(admission, message.seed),
            names,
            events: Vec::new(),
            needs_decision: true,
        }
    }

    fn add_event(&mut self, event: Event) {
        self.events.push(event);
        self.needs_decision = true;
    }

    fn decide(&mut self, time: Time, actions: &mut Vec<Action>) {
        self.controller.decide(time, &self.events, actions);
        self.events.clear();
        self.needs_decision = false;
    }
}

/// All servers, by identifier, and the batch in progress.
#[derive(Default)]
pub(crate) struct Session {
    servers: BTreeMap<u64, Server>,
    /// The time of the batch in progress; `None` between batches.
    batch_time: Option<Time>,
    /// Buffer for the actions of one server, reused to avoid allocations.
    actions: Vec<Action>,
    /// Buffer for the reply to a batch, reused to avoid allocations.
    reply: Vec<u8>,
}

impl Session {
    /// Returns whether a batch is in progress.
    pub fn is_in_batch(&self) -> bool {
        self.batch_time.is_some()
    }

    /// Processes one line. Returns the reply if the line ends a batch.
    pub fn handle_line(&mut self, line: &[u8]) -> Result<Option<&[u8]>, LineError> {
        let message: Incoming = serde_json::from_slice(line)?;
        match (message, self.batch_time) {
            (Incoming::BeginBatch(message), None) => self.begin_batch(&message),
            (Incoming::BeginBatch(_), Some(_)) => return Err(LineError::NestedBatch),
            (_, None) => return Err(LineError::OutsideBatch),
            (Incoming::EndBatch(_), Some(time)) => return Ok(Some(self.end_batch(time))),
            (message, Some(_)) => self.handle_server_message(message)?,
        }
        Ok(None)
    }

    fn begin_batch(&mut self, message: &BeginBatch) {
        self.batch_time = Some(Time(Span::from_secs(message.time_s).0));
    }

    /// Runs the controllers of the servers with events, in the order of the servers' identifiers,
    /// and returns the reply with their actions.
    fn end_batch(&mut self, time: Time) -> &[u8] {
        self.batch_time = None;
        self.reply.clear();
        for (&id, server) in &mut self.servers {
            if !server.needs_decision {
                continue;
            }
            self.actions.clear();
            server.decide(time, &mut self.actions);
            for action in &self.actions {
                write_line(&convert::outgoing(id, action), &mut self.reply);
            }
        }
        write_line(&Outgoing::EndReply {}, &mut self.reply);
        &self.reply
    }

    /// Processes a message to one server. Messages to unknown servers must be well-formed but are
    /// otherwise ignored.
    fn handle_server_message(&mut self, message: Incoming) -> Result<(), LineError> {
        match message {
            // `handle_line` processes the messages that are not addressed to a server.
            Incoming::BeginBatch(_) | Incoming::EndBatch(_) => {}
            Incoming::StartServer(message) => {
                self.servers
                    .insert(message.server_id, Server::new(*message));
            }
            Incoming::StopServer(message) => {
                self.servers.remove(&message.server_id);
            }
            Incoming::Request(message) => {
                if let Some(server) = self.servers.get_mut(&message.server_id) {
                    let request = convert::request(message, &server.names)?;
                    server.add_event(Event::Request(request));
                }
            }
            Incoming::RunCompleted(message) => {
                self.add_event(message.server_id, convert::run_completed(&message)?);
            }
            Incoming::CallCompleted(message) => {
                self.add_event(message.server_id, convert::call_completed(&message)?);
            }
            Incoming::CallNeeded(message) => {
                let event = Event::CallNeeded(RequestId(message.request_id));
                self.add_event(message.server_id, event);
            }
            Incoming::ClientCancelled(message) => {
                let event = Event::ClientCancelled(RequestId(message.request_id));
                self.add_event(message.server_id, event);
            }
            Incoming::Drain(message) => {
                let event = Event::Drain(Span::from_secs(message.remaining_s));
                self.add_event(message.server_id, event);
            }
            Incoming::Timer(message) => {
                let token = convert::token(message.token)?;
                if let Some(server) = self.servers.get_mut(&message.server_id) {
                    let gauges = server.names.gauges.read(&message.gauges);
                    server.add_event(Event::Timer { token, gauges });
                }
            }
        }
        Ok(())
    }

    fn add_event(&mut self, server_id: u64, event: Event) {
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.add_event(event);
        }
    }
}

fn write_line(message: &Outgoing<'_>, reply: &mut Vec<u8>) {
    serde_json::to_writer(&mut *reply, message)
        .expect("numbers and strings always serialize into memory");
    reply.push(b'\n');
}
