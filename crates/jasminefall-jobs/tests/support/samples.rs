//! Values whose fields all differ, so that an exchange of two fields changes their encoding.

use std::collections::BTreeSet;

use jasminefall_jobs::prelude::*;

pub(crate) fn queue_key() -> QueueKey {
    QueueKey {
        host: "layouts.example".into(),
        path_prefix: "/builds/".into(),
    }
}

pub(crate) fn api_key() -> ApiKeyDigest {
    ApiKeyDigest::of("k3y-of-the-first")
}

pub(crate) fn resources(first: u64) -> Resources {
    Resources {
        cpu_millis: first,
        memory_mb: first + 1,
        gpus: first + 2,
    }
}

/// Returns a job with one step that sets every field and one with the default of every optional field.
pub(crate) fn job_spec() -> JobSpec {
    let full = StepSpec {
        tasks: 3,
        needs: resources(200),
        estimated_ms: 1_500,
        after: vec![0],
        checkpoints: true,
        gang: false,
        prefers_one_rack: true,
        needs_label: Some("a".into()),
        rack_affinity: Some("r1".into()),
        max_per_worker: Some(2),
        allows_copies: false,
        long_running: false,
        image: Some("compile".into()),
        tail_target_ms: Some(80),
        best_effort: false,
        max_unavailable: 4,
    };
    let minimal = StepSpec {
        tasks: 1,
        gang: true,
        allows_copies: true,
        long_running: true,
        best_effort: true,
        ..StepSpec::default()
    };
    JobSpec {
        payload: "build".to_owned(),
        steps: vec![minimal, full],
        schedule: Some(Schedule {
            first_due_ms: 1_700_000_000_000,
            interval_ms: 60_000,
            occurrences: 5,
        }),
    }
}

/// Returns a configuration without access rules, which are encoded separately.
pub(crate) fn configuration() -> Configuration {
    Configuration {
        version: 7,
        document: b"{\"version\":7}".to_vec(),
        queues: vec![Queue {
            name: "builds".into(),
            key: queue_key(),
            pool: "editor".into(),
            call_timeout_ms: 3_000,
            latency_target_ms: 600,
            rank: 1,
            attempts: 4,
            stretch_millis: 1_600,
            needs_advice: true,
        }],
        pools: vec![Pool {
            name: "editor".into(),
            refuses_overload: true,
            standby: false,
        }],
        limits: ClientLimits {
            max_head_bytes: 8_192,
            max_body_bytes: 65_536,
            head_timeout_ms: 2_000,
            idle_timeout_ms: 9_000,
        },
        access: Access::default(),
    }
}

pub(crate) fn access() -> Access {
    let workspace = Workspace {
        name: WorkspaceName::new("schools"),
        keys: vec![api_key(), ApiKeyDigest::of("k3y-of-the-second")],
        weight: Weight::from_millis(1_250),
        cap: ResourceCap(resources(64_000)),
    };
    Access::new(BTreeSet::from([queue_key()]), vec![workspace])
}

pub(crate) fn incarnation() -> IncarnationId {
    IncarnationId {
        worker: "i-30cdeaaa8f".into(),
        started_at_ms: 1_700_000_000_123,
    }
}

pub(crate) fn heartbeat() -> Heartbeat {
    Heartbeat {
        incarnation: incarnation(),
        instance: Some("machine-17".into()),
        pool: "editor".into(),
        address: "10.128.0.9:8080".into(),
        data_centre: "curepipe".into(),
        capacity: resources(16_000),
        labels: vec!["a".into(), "r1-3".into()],
        draining: true,
        leaves_in_ms: Some(2_500),
        cold_ms: 750,
        clock_ms: 482_113,
        sequence: 4,
    }
}

pub(crate) fn wave() -> Wave {
    Wave {
        instances: vec!["machine-17".into(), "machine-18".into()],
        duration_ms: 26_000,
        max_down: 2,
        accepted_at_ms: 1_700_000_000_456,
        maintained: BTreeSet::from(["machine-18".into()]),
    }
}
