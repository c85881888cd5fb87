//! Token buckets that tell whether a request is within its tenant's quota.
//!
//! A quota holds for the whole fleet. This server refills its buckets by its estimated share of the
//! fleet's traffic.

use crate::settings::Tenant;

/// Seconds of its rate that a tenant may use at once.
const BURST_S: f64 = 2.0;
/// Requests that a bucket takes on top, for random clustering of a low rate.
const EXTRA_BURST_REQUESTS: f64 = 4.0;
/// Weight per second of new arrivals in a tenant's arrival rate.
const RATE_WEIGHT_PER_S: f64 = 0.2;
/// Least quota by which an arrival rate is divided, in requests per second.
const MIN_QUOTA_PER_S: f64 = 1e-6;

/// The buckets of all tenants.
#[derive(Debug)]
pub(crate) struct TenantQuotas {
    buckets: Vec<Bucket>,
    servers: f64,
}

#[derive(Debug)]
struct Bucket {
    /// Quota over all servers, in requests per second.
    quota_per_s: f64,
    tokens: f64,
    /// First attempts since the last refill.
    arrivals: f64,
    /// Smoothed arrival rate at this server, in requests per second.
    arrival_rate_per_s: f64,
}

impl TenantQuotas {
    /// Creates full buckets for an equal share of the traffic.
    pub fn new(tenants: &[Tenant], servers: u64) -> TenantQuotas {
        let servers = servers.max(1) as f64;
        let bucket = |tenant: &Tenant| {
            let rate_per_s = tenant.quota_per_s / servers;
            Bucket {
                quota_per_s: tenant.quota_per_s,
                tokens: rate_per_s * BURST_S + EXTRA_BURST_REQUESTS,
                arrivals: 0.0,
                arrival_rate_per_s: rate_per_s,
            }
        };
        TenantQuotas {
            buckets: tenants.iter().map(bucket).collect(),
            servers,
        }
    }

    /// Returns whether a request is within its tenant's quota, and charges it. A retry is not
    /// charged: it gets the standing that its tenant has now.
    pub fn charge(&mut self, tenant: usize, is_retry: bool) -> bool {
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return true;
        };
        let within_quota = bucket.tokens >= 1.0;
        if !is_retry {
            bucket.arrivals += 1.0;
            if within_quota {
                bucket.tokens -= 1.0;
            }
        }
        within_quota
    }

    /// Refills the buckets after a control period by this server's share of the fleet's traffic.
    pub fn refill(&mut self, period_s: f64) {
        if self.buckets.is_empty() {
            return;
        }
        self.update_arrival_rates(period_s);
        let traffic_share = self.traffic_share();
        for bucket in &mut self.buckets {
            let rate_per_s = bucket.quota_per_s * traffic_share;
            let capacity = rate_per_s * BURST_S + EXTRA_BURST_REQUESTS;
            bucket.tokens = (bucket.tokens + rate_per_s * period_s).min(capacity);
        }
    }

    fn update_arrival_rates(&mut self, period_s: f64) {
        let weight = (period_s * RATE_WEIGHT_PER_S).min(1.0);
        for bucket in &mut self.buckets {
            let period_rate_per_s = bucket.arrivals / period_s;
            bucket.arrival_rate_per_s += (period_rate_per_s - bucket.arrival_rate_per_s) * weight;
            bucket.arrivals = 0.0;
        }
    }

    /// Estimates this server's share of the fleet's traffic: at least an equal one, and more when
    /// the median tenant sends more of its quota here. A single flooding tenant moves the median
    /// little.
    fn traffic_share(&self) -> f64 {
        let share_of_quota =
            |bucket: &Bucket| bucket.arrival_rate_per_s / bucket.quota_per_s.max(MIN_QUOTA_PER_S);
        let mut shares: Vec<f64> = self.buckets.iter().map(share_of_quota).collect();
        shares.sort_by(f64::total_cmp);
        let median = shares[(shares.len() - 1) / 2];
        median.max(1.0 / self.servers)
    }
}

#[cfg(test)]
#[path = "../tests/unit/tenant_quotas.rs"]
mod tests;
