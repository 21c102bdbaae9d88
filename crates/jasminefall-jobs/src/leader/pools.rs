//! Which instances change their pool.

use smol_str::SmolStr;

use super::{InstanceAnswer, Leader};
use crate::state::JobsState;

/// Holds the moves that are under way.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolPlans {}

impl Leader {
    pub(super) fn tend_pools(&mut self, _state: &JobsState) {}

    /// Takes the platform's answer to an order to move an instance.
    pub fn take_move_answer(
        &mut self,
        instance: &SmolStr,
        pool: &SmolStr,
        answer: InstanceAnswer,
        _state: &JobsState,
    ) {
        self.note(format!("event=move_answer instance={instance} pool={pool} answer={answer:?}"));
    }
}
