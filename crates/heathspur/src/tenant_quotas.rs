//! Token buckets that determine whether a request is within its tenant's quota.
//!
//! A quota applies to the entire fleet. This server refills its buckets according to its estimated
//! share of the fleet's traffic.

use crate::settings::Tenant;

/// Burst capacity of a bucket, in seconds of its refill rate.
const BURST_S: f64 = 2.0;
/// Requests added to the burst capacity, since requests at a low rate cluster at random.
const EXTRA_BURST_REQUESTS: f64 = 4.0;
/// Weight of new arrivals in a tenant's smoothed arrival rate, per second of the period.
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
    /// Requests that are still within the quota.
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

    /// Returns whether a request is within its tenant's quota, and charges it. A retry is checked
    /// against the tokens left but not charged.
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

    /// Refills the buckets after a control period, according to this server's share of the traffic.
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

    /// Estimates this server's share of the fleet's traffic as the share of its quota that the
    /// median tenant sends here, but no less than an equal share. A single tenant that floods the
    /// server hardly changes the median.
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
