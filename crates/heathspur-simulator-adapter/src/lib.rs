//! The bench adapter: reads the simulator's batches, hands each server its events, writes replies.
//!
//! It translates only. What it cannot make sense of ends the run with one plain message.
#![forbid(unsafe_code)]
#![allow(missing_docs)]

pub mod wire;

use heathspur::{Action, AdmissionController, Event, RequestId, Span, Time, Token};
use heathspur_settings::{ServerSettings, WireNames};
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, BufRead, Write};
use wire::{In, Out};

/// Why the adapter stopped.
#[derive(Debug)]
pub enum Fault {
    /// Reading or writing failed.
    Io(io::Error),
    /// A line was not what the wire allows.
    Line {
        /// Its number, from 1.
        number: u64,
        /// What is wrong with it.
        what: String,
    },
    /// The input ended inside a batch.
    CutOff {
        /// The last line read.
        number: u64,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Io(e) => write!(f, "input or output failed: {e}"),
            Fault::Line { number, what } => write!(f, "line {number}: {what}"),
            Fault::CutOff { number } => write!(f, "line {number}: input ended inside a batch"),
        }
    }
}

impl std::error::Error for Fault {}

impl From<io::Error> for Fault {
    fn from(e: io::Error) -> Fault {
        Fault::Io(e)
    }
}

struct Instance {
    server: AdmissionController,
    names: WireNames,
    events: Vec<Event>,
    touched: bool,
}

/// Runs until the input ends.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), Fault> {
    let mut instances: BTreeMap<u64, Instance> = BTreeMap::new();
    let (mut number, mut line, mut now) = (0u64, Vec::new(), None);
    let (mut actions, mut reply) = (Vec::new(), Vec::new());
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            return if now.is_none() {
                Ok(())
            } else {
                Err(Fault::CutOff { number })
            };
        }
        number += 1;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let fault = |what: String| Fault::Line { number, what };
        let message: In = serde_json::from_slice(&line).map_err(|e| fault(e.to_string()))?;
        match (message, now) {
            (In::Begin(clock), None) => now = Some(Time(Span::from_secs(clock.t_s).0)),
            (In::Begin(_), Some(_)) => return Err(fault("a batch begins inside another".into())),
            (_, None) => return Err(fault("a message outside a batch".into())),
            (In::Turn(_), Some(time)) => {
                reply.clear();
                for (&id, instance) in instances.iter_mut().filter(|(_, i)| i.touched) {
                    actions.clear();
                    instance.server.decide(time, &instance.events, &mut actions);
                    instance.events.clear();
                    instance.touched = false;
                    write_actions(id, &actions, &mut reply)?;
                }
                write_line(&Out::Ok {}, &mut reply)?;
                output.write_all(&reply)?;
                output.flush()?;
                now = None;
            }
            (In::Enlist(start), Some(_)) => {
                let ServerSettings { admission, names } = start.facts.into();
                let server = AdmissionController::new(admission, start.init_seed);
                let fresh = Instance {
                    server,
                    names,
                    events: Vec::new(),
                    touched: true,
                };
                instances.insert(start.server_id, fresh);
            }
            (In::Halt(m), Some(_)) => drop(instances.remove(&m.server_id)),
            (other, Some(_)) => {
                let (id, event) = event(other, &instances).map_err(fault)?;
                if let (Some(instance), Some(event)) = (instances.get_mut(&id), event) {
                    instance.events.push(event);
                    instance.touched = true;
                }
            }
        }
    }
}

/// Translates a message that belongs to one server; nothing comes of one for a server not known.
fn event(message: In, instances: &BTreeMap<u64, Instance>) -> Result<(u64, Option<Event>), String> {
    Ok(match message {
        In::Demand(d) => {
            let (id, known) = (d.server_id, instances.get(&d.server_id));
            (
                id,
                known
                    .map(|i| wire::request(d, &i.names))
                    .transpose()?
                    .map(Event::Request),
            )
        }
        In::Ended(m) => {
            let (id, outcome, latency) = (
                RequestId(m.ticket),
                wire::outcome(m.rc)?,
                Span::from_secs(m.rtt_s),
            );
            (
                m.server_id,
                Some(Event::RunCompleted {
                    id,
                    outcome,
                    latency,
                }),
            )
        }
        In::CameBack(m) => {
            let (id, outcome, latency) = (
                RequestId(m.ticket),
                wire::outcome(m.rc)?,
                Span::from_secs(m.rtt_s),
            );
            (
                m.server_id,
                Some(Event::CallCompleted {
                    id,
                    outcome,
                    latency,
                }),
            )
        }
        In::WantsCall(m) => (m.server_id, Some(Event::CallNeeded(RequestId(m.ticket)))),
        In::Abandoned(m) => (
            m.server_id,
            Some(Event::ClientCancelled(RequestId(m.ticket))),
        ),
        In::Drain(m) => (
            m.server_id,
            Some(Event::Drain(Span::from_secs(m.patience_left_s))),
        ),
        In::TickDue(m) => {
            let token = m
                .token
                .parse()
                .map(Token)
                .map_err(|_| format!("no timer {:?}", m.token))?;
            let known = instances.get(&m.server_id);
            (
                m.server_id,
                known.map(|i| Event::Timer {
                    token,
                    gauges: i.names.gauges.read(&m.gauge),
                }),
            )
        }
        In::Begin(_) | In::Turn(_) | In::Enlist(_) | In::Halt(_) => {
            return Err("out of place".into())
        }
    })
}

fn write_actions(id: u64, actions: &[Action], reply: &mut Vec<u8>) -> io::Result<()> {
    actions
        .iter()
        .try_for_each(|a| write_line(&wire::action(id, a), reply))
}

fn write_line(out: &Out<'_>, reply: &mut Vec<u8>) -> io::Result<()> {
    serde_json::to_writer(&mut *reply, out)?;
    reply.push(b'\n');
    Ok(())
}
