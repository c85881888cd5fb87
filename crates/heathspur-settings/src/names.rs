//! Names in the protocol's messages that a server's settings define.

use heathspur::Gauges;

/// The protocol's names of the gauges that the admission controller uses.
const CPU_GAUGE: &str = "cpu_busy";
const RUNNABLE_GAUGE: &str = "runnable";
const MEMORY_GAUGE: &str = "mem_used";
const CONNECTIONS_GAUGE: &str = "sockets";

/// The names of one server's classes, tenants and gauges, and whether its interpreter reports
/// cancellations.
#[derive(Clone, Debug)]
pub struct ProtocolNames {
    /// Names of the classes, in the order of [`ClassId`](heathspur::ClassId).
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`TenantId`](heathspur::TenantId).
    pub tenants: Vec<String>,
    /// The order of the gauge values.
    pub gauges: GaugeLayout,
    /// Whether the server is notified when clients cancel.
    pub reports_cancellation: bool,
}

/// The names of a server's gauges in the order of their values.
#[derive(Clone, Debug)]
pub struct GaugeLayout(pub(crate) Vec<String>);

impl GaugeLayout {
    /// Converts gauge values, which are in the order of the gauges' names in the settings.
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
