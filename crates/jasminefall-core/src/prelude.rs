//! Re-exports of the commonly used types.

pub use crate::desired::{
    Budget, DesiredState, EntryDeclaration, InUse, InstanceDeclaration, ObjectChange,
    PoolDeclaration, ServiceDeclaration, TeamDeclaration, WaveDeclaration, WaveOrder,
};
pub use crate::document::Document;
pub use crate::ids::{
    ChangeId, DataCentreId, EntryId, Epoch, IdempotencyKey, Incarnation, InstanceId, JobId, PoolId,
    RackId, ServiceId, TeamId, Version, WaveId, WorkerId,
};
pub use crate::problem::{Place, Problem, Problems};
pub use crate::units::{Bytes, DurationMs, MilliCores, RatePerSecond};
pub use crate::urgency::Urgency;
pub use smol_str::SmolStr;
