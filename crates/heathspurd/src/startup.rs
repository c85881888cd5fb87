//! Startup of the process: binds the listeners, starts recording and membership, serves, and stops them.

use crate::config::Config;
use crate::error::Error;
use crate::membership::failover::{self, ReplicaRoutes};
use crate::membership::MembershipThread;
use crate::recording::Recording;
use crate::serve::{self, FleetHandles, Listeners};
use async_executor::LocalExecutor;
use async_signal::Signals;
use heathspur_config::Operator;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// The longest wait for the last blocks of a recording to be written before the process exits.
const RECORDING_TIMEOUT: Duration = Duration::from_millis(30);

/// Serves until the server has drained. The caller has subscribed to the signals before it read the files, so a signal
/// that arrives in between does not end the process, and a SIGHUP in between reloads the configuration.
pub(crate) fn run(signals: Signals, config: Config, operator: Operator) -> Result<(), Error> {
    let listeners = bind_listeners(&config, &operator)?;
    let recording = start_recording(&config, &operator)?;
    let (membership, routes) = start_membership(&operator)?;
    let recorder = recording.as_ref().map(|recording| recording.handle.clone());
    let fleet = FleetHandles {
        membership: membership.as_ref().map(MembershipThread::handle),
        routes,
    };
    let executor = Rc::new(LocalExecutor::new());
    let serving = serve::serve(
        executor.clone(),
        config,
        listeners,
        signals,
        recorder,
        fleet,
    );
    let served = async_io::block_on(executor.run(serving));
    // Drops the remaining tasks, whose streams refer to the recorder: `Recording::finish` needs the last reference.
    drop(executor);
    if let Some(membership) = membership {
        membership.stop();
    }
    if let Some(recording) = recording {
        recording.finish(RECORDING_TIMEOUT);
    }
    served.map_err(Error::Signals)
}

fn bind_listeners(config: &Config, operator: &Operator) -> Result<Listeners, Error> {
    let http1 = bind(config.listen)?;
    let http2 = match operator.http2.clone() {
        Some(http2) => Some((bind(http2.listen)?, http2)),
        None => None,
    };
    Ok(Listeners { http1, http2 })
}

fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|source| Error::Bind { address, source })
}

fn start_recording(config: &Config, operator: &Operator) -> Result<Option<Recording>, Error> {
    let Some(record) = &operator.record else {
        return Ok(None);
    };
    Recording::start(&config.name, record)
        .map(Some)
        .map_err(Error::Thread)
}

/// Starts the fleet membership, and the failover between zones if this server's zone has a replica.
fn start_membership(
    operator: &Operator,
) -> Result<(Option<MembershipThread>, Option<ReplicaRoutes>), Error> {
    let Some(members) = &operator.members else {
        return Ok((None, None));
    };
    let failover_and_index = operator
        .failover
        .as_ref()
        .and_then(|failover| Some((failover, failover.replica_of(&members.zone)?)));
    let (decider, routes) = failover_and_index
        .map(|(failover, local_index)| failover::start(failover, local_index, &members.region))
        .unzip();
    let membership = MembershipThread::start(members, decider).map_err(Error::Membership)?;
    Ok((Some(membership), routes))
}
