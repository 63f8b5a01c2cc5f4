//! Expiry and limits of the prompt cache index.

use super::*;

fn engine(index: usize) -> Instance {
    Instance(format!("e{index}"))
}

fn cached_engines(prompts: &PromptCacheIndex, now: Time, group: PromptGroup) -> Vec<(String, u64)> {
    let engines = prompts.engines(now, group);
    engines.map(|(engine, v)| (engine.0.clone(), v)).collect()
}

#[test]
fn prompt_expires_after_its_last_use() {
    let group = PromptGroup::of("t", "m", "g");
    let mut prompts = PromptCacheIndex::default();
    prompts.record_use(Time(0), group, &engine(1), 5);
    prompts.record_use(Time(3_000_000), group, &engine(2), 6);
    let now = Time(3_500_000);
    let both = vec![("e1".to_string(), 5), ("e2".to_string(), 6)];
    assert_eq!(cached_engines(&prompts, now, group), both);
    assert_eq!(cached_engines(&prompts, Time(4_500_000), group), both[1..]);
    assert!(cached_engines(&prompts, now, PromptGroup::of("u", "m", "g")).is_empty());
}

#[test]
fn groups_and_engines_are_bounded() {
    let mut prompts = PromptCacheIndex::default();
    for group in 0..10_000_u64 {
        let name = PromptGroup::of("t", "m", &group.to_string());
        prompts.record_use(Time(group), name, &engine(1), 5);
        assert!(prompts.groups.len() <= MAX_GROUPS);
    }
    // The most recently used groups are kept.
    let newest = PromptGroup::of("t", "m", "9999");
    assert_eq!(cached_engines(&prompts, Time(10_000), newest).len(), 1);
    for index in 0..100 {
        prompts.record_use(Time(20_000), newest, &engine(index), 5);
    }
    assert_eq!(prompts.groups[&newest].len(), MAX_ENGINES);
}

#[test]
fn groups_used_at_the_same_time_are_bounded() {
    let mut prompts = PromptCacheIndex::default();
    for group in 0..10_000_u64 {
        let name = PromptGroup::of("t", "m", &group.to_string());
        prompts.record_use(Time(7), name, &engine(1), 5);
        assert!(prompts.groups.len() <= MAX_GROUPS);
    }
}
