//! Tests of the tenants' token buckets.

use super::*;

fn quotas(quota_per_s: &[f64], servers: u64) -> TenantQuotas {
    let tenants: Vec<_> = quota_per_s
        .iter()
        .map(|&quota_per_s| Tenant { quota_per_s })
        .collect();
    TenantQuotas::new(&tenants, servers)
}

fn charge_all(quotas: &mut TenantQuotas, tenant: usize, requests: usize) -> usize {
    (0..requests)
        .filter(|_| quotas.charge(tenant, false))
        .count()
}

#[test]
fn full_bucket_admits_two_seconds_of_rate_plus_four_requests() {
    let mut quotas = quotas(&[10.0], 2);
    assert_eq!(charge_all(&mut quotas, 0, 50), 14);
}

#[test]
fn retry_is_checked_but_not_charged() {
    let mut quotas = quotas(&[0.0], 1);
    assert_eq!((0..50).filter(|_| quotas.charge(0, true)).count(), 50);
    assert_eq!(charge_all(&mut quotas, 0, 50), 4);
    assert!(!quotas.charge(0, true));
}

#[test]
fn bucket_refills_at_server_share_of_rate() {
    let mut quotas = quotas(&[10.0], 2);
    charge_all(&mut quotas, 0, 14);
    // Fourteen requests in a second raise the share above one half.
    quotas.refill(1.0);
    assert_eq!(charge_all(&mut quotas, 0, 50), 6);
}

#[test]
fn flood_of_one_tenant_does_not_raise_refill_of_others() {
    let mut quotas = quotas(&[10.0, 10.0, 10.0], 10);
    for tenant in [1, 2] {
        charge_all(&mut quotas, tenant, 6);
    }
    charge_all(&mut quotas, 0, 1000);
    quotas.refill(1.0);
    assert!(charge_all(&mut quotas, 1, 50) <= 2);
}

#[test]
fn unknown_tenant_is_within_quota() {
    assert!(quotas(&[], 1).charge(3, false));
}
