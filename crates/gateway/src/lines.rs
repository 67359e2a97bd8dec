//! Which target serves a line of calls, and so keeps its prompt.

use std::net::SocketAddr;

use lagoon_ids::{hash64, FastMap};

use crate::news::{LineNews, LineTag, TargetTag};
use crate::request::Facts;

/// Time without a call after which a line is forgotten.
const SILENT_MS: u64 = 60_000;

/// Lines that are known at most: those of 140,000 programs.
const MOST: usize = 150_000;

#[derive(Clone, Copy, Debug)]
struct Line {
    target: TargetTag,
    /// VM that told of it first; `None` for this one.
    vm: Option<SocketAddr>,
    used_ms: u64,
}

/// Lines of calls that came through this VM, or that others told of.
#[derive(Debug, Default)]
pub struct Lines {
    lines: FastMap<LineTag, Line>,
    news: Vec<LineNews>,
}

fn tag(name: &str) -> LineTag {
    LineTag(hash64(name.as_bytes()) as u32)
}

impl Lines {
    /// Target that served the request's line last. A new line of a program
    /// begins with the prompt of the line that spawned it, so its target is
    /// the one of the program's first line.
    pub fn last(&self, facts: &Facts) -> Option<TargetTag> {
        let program = facts.program.as_deref().map(tag);
        [Some(tag(facts.subject())), program]
            .into_iter()
            .flatten()
            .find_map(|line| self.lines.get(&line))
            .map(|line| line.target)
    }

    /// Other VM through which the request's program began, and which so holds
    /// most of its budget.
    pub fn first_vm(&self, facts: &Facts) -> Option<SocketAddr> {
        let program = facts.program.as_deref()?;
        self.lines.get(&tag(program))?.vm
    }

    /// Takes note that a target serves the request; it is news if other VMs
    /// would not expect it there.
    pub fn served(&mut self, facts: &Facts, target: TargetTag, now_ms: u64) {
        let line = tag(facts.subject());
        if self.last(facts) != Some(target) {
            self.news.push(LineNews { line, target });
            self.insert(line, target, None, now_ms);
        } else if let Some(known) = self.lines.get_mut(&line) {
            known.used_ms = now_ms;
        }
    }

    /// Takes in what another VM tells.
    pub fn take(&mut self, vm: SocketAddr, news: &[LineNews], now_ms: u64) {
        for told in news {
            self.insert(told.line, told.target, Some(vm), now_ms);
        }
    }

    /// What other VMs should know since this was asked last.
    pub fn news(&mut self) -> Vec<LineNews> {
        std::mem::take(&mut self.news)
    }

    /// Forgets lines that are long silent.
    pub fn sweep(&mut self, now_ms: u64) {
        self.lines
            .retain(|_, line| now_ms < line.used_ms + SILENT_MS);
    }

    /// Lines that are known.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether no line is known.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    fn insert(&mut self, line: LineTag, target: TargetTag, vm: Option<SocketAddr>, used_ms: u64) {
        if let Some(known) = self.lines.get_mut(&line) {
            known.target = target;
            known.used_ms = used_ms;
        } else if self.lines.len() < MOST {
            let begun = Line {
                target,
                vm,
                used_ms,
            };
            self.lines.insert(line, begun);
        }
    }
}
