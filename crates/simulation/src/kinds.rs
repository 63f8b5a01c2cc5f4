//! Names of peer messages, and which belong to control.

use peatgrade_schema::peer::mod_Envelope::OneOfbody;

/// Name of a message's kind.
pub fn kind(body: &OneOfbody) -> &'static str {
    match body {
        OneOfbody::ping(_) => "ping",
        OneOfbody::ack(_) => "ack",
        OneOfbody::ping_request(_) => "ping-request",
        OneOfbody::prepare(_) => "prepare",
        OneOfbody::promise(_) => "promise",
        OneOfbody::accept(_) => "accept",
        OneOfbody::accepted(_) => "accepted",
        OneOfbody::shard_sync_request(_) => "shard-sync-request",
        OneOfbody::shard_sync_reply(_) => "shard-sync-reply",
        OneOfbody::shards_synced(_) => "shards-synced",
        OneOfbody::roster_request(_) => "roster-request",
        OneOfbody::roster_reply(_) => "roster-reply",
        OneOfbody::bulletin(_) => "bulletin",
        OneOfbody::load_report(_) => "load-report",
        OneOfbody::config_request(_) => "config-request",
        OneOfbody::config_reply(_) => "config-reply",
        OneOfbody::rollout_order(_) => "rollout-order",
        OneOfbody::rollout_report(_) => "rollout-report",
        OneOfbody::blob_put(_) => "blob-put",
        OneOfbody::blob_put_reply(_) => "blob-put-reply",
        OneOfbody::blob_get(_) => "blob-get",
        OneOfbody::blob_get_reply(_) => "blob-get-reply",
        OneOfbody::blob_list(_) => "blob-list",
        OneOfbody::blob_list_reply(_) => "blob-list-reply",
        OneOfbody::blob_delete(_) => "blob-delete",
        OneOfbody::prompt_offer(_) => "prompt-offer",
        OneOfbody::step_notice(_) => "step-notice",
        OneOfbody::weight_report(_) => "weight-report",
        OneOfbody::weight_orders(_) => "weight-orders",
        OneOfbody::None => "none",
    }
}

/// Whether messages of a kind carry samples, prompts or transcripts rather
/// than control. Registers count as control; a run that measures control sends
/// no request that is recorded in them.
pub fn is_data(kind: &str) -> bool {
    kind.starts_with("blob-") || kind.starts_with("rollout-") || kind == "prompt-offer"
}
