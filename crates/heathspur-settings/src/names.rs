//! The names of the wire that a server's settings define.

use heathspur::Gauges;

/// The wire's names of the gauges that the decisions use.
const CPU_GAUGE: &str = "cpu_busy";
const RUNNABLE_GAUGE: &str = "runnable";
const MEMORY_GAUGE: &str = "mem_used";
const CONNECTIONS_GAUGE: &str = "sockets";

/// The classes, tenants and gauges of one server by position, and the events that its interpreter reports.
#[derive(Clone, Debug)]
pub struct WireNames {
    /// The classes, in the order of [`ClassId`](heathspur::ClassId).
    pub classes: Vec<String>,
    /// The tenants, in the order of [`TenantId`](heathspur::TenantId).
    pub tenants: Vec<String>,
    /// The positions of the gauges.
    pub gauges: GaugeLayout,
    /// The server is notified of clients that cancel.
    pub reports_cancellation: bool,
}

/// The names of a server's gauges in the order of their values.
#[derive(Clone, Debug)]
pub struct GaugeLayout(pub(crate) Vec<String>);

impl GaugeLayout {
    /// Reads the values, which are in the order of the settings.
    pub fn read(&self, values: &[f64]) -> Gauges {
        Gauges {
            cpu: self.value(CPU_GAUGE, values),
            runnable: self.value(RUNNABLE_GAUGE, values),
            memory: self.value(MEMORY_GAUGE, values),
            connections: self.value(CONNECTIONS_GAUGE, values),
        }
    }

    fn value(&self, name: &str, values: &[f64]) -> Option<f64> {
        let position = self.0.iter().position(|gauge| gauge == name)?;
        values.get(position).copied()
    }
}
