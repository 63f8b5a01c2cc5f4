//! Deliberate breaks, to check that the oracle would notice them.

/// One deliberate break of a mechanism.
#[derive(Clone, Copy, PartialEq, Eq, Debug, PartialOrd, Ord)]
pub enum Mutation {
    /// Retry a non-repeatable request after its first byte was sent.
    RetryNonRepeatable,
    /// Send a non-repeatable request without recording its start.
    SkipOnceRecord,
    /// Say `not-run` when the outcome is unknown.
    ClaimNotRun,
    /// Take configuration of any number.
    IgnoreConfigNumber,
    /// Do not ask for newer configuration that another node has.
    NeverAskForNewer,
    /// Do not check staleness when a step is selected.
    IgnoreStaleness,
    /// Do not mark the samples of a sealed step as used.
    ReuseSamples,
    /// Name the version wanted instead of the version reported.
    ClaimWantedVersion,
    /// Send new work to engines that are leaving.
    IgnoreLeaving,
    /// Stop without waiting for what is in flight.
    SkipDrain,
    /// Give one caller the answer of another.
    SwapAnswers,
    /// Pass on an answer that broke off as if it were whole.
    TruncateAnswers,
    /// Act on as a coordinator after the lease, and write over the trainer's
    /// register without looking at it.
    SealUnfenced,
}

impl Mutation {
    /// Every break.
    pub const ALL: [Mutation; 13] = [
        Mutation::RetryNonRepeatable,
        Mutation::SkipOnceRecord,
        Mutation::ClaimNotRun,
        Mutation::IgnoreConfigNumber,
        Mutation::NeverAskForNewer,
        Mutation::IgnoreStaleness,
        Mutation::ReuseSamples,
        Mutation::ClaimWantedVersion,
        Mutation::IgnoreLeaving,
        Mutation::SkipDrain,
        Mutation::SwapAnswers,
        Mutation::TruncateAnswers,
        Mutation::SealUnfenced,
    ];
}
