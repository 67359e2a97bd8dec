//! Cases of the review that are scripts: `review-rig CASE RECORD [quiet]`. Exits with 1
//! if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod fleet;
mod http;
mod json;
mod links;
mod store;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use fleet::{
    free_port, start_engine, stream_once, turn, Engine, Record, Run, Runs, Vm, TOKENS_PER_EVENT,
};
use links::Link;
use store::{Store, SERVES, SILENT, SLOW};

const CONFIG: &str = r#"{"version": 3,
 "routes": [
  {"name": "streams", "host": "a.example", "prefix": "/stream/", "kind": "streaming",
   "timeout_ms": 3000, "target_latency_ms": 200, "priority": 0, "service": "engines",
   "max_attempts": 1, "retain": false, "retention_s": 60.0, "sticky": true, "resumable": true,
   "gap_aim_ms": 150},
  {"name": "bookings", "host": "a.example", "prefix": "/book/", "kind": "non_idempotent",
   "timeout_ms": 3000, "target_latency_ms": 500, "priority": 2, "service": "desks",
   "max_attempts": 1}],
 "services": [
  {"name": "desks", "health_path": "/health", "max_connections": 96},
  {"name": "engines", "health_path": "/health", "max_connections": 150,
   "engine": {"slots": 12, "kv_cache_tokens": 174325, "tokens_per_event": 12}}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
  "idle_timeout_ms": 15000}}"#;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Tokens that all turns of a program may generate.
const BUDGET: u64 = 2_304;

/// The most that one turn generates.
const TURN: u64 = 288;

/// Budget of a program of one turn.
const ONE_TURN_BUDGET: u64 = TURN;

/// `recover_s` of the site.
const RECOVER_S: f64 = 12.0;

/// Programs that loop until they are stopped.
const PROGRAMS: usize = 48;

struct Site {
    store: Arc<Store>,
    record: Arc<Record>,
    runs: Runs,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
}

/// Store, engines of a service each, and VMs in three zones; none of the VMs is started.
fn site_with(record: &Arc<Record>, config: &str, vms: usize, services: &[&str]) -> Site {
    let store = Store::new();
    store.put("op", "config", Some(config));
    let runs = Runs::default();
    let engines = services.iter().enumerate().map(|(index, service)| {
        let id = format!("i-{index}");
        let place = (id.as_str(), *service, ZONES[index % ZONES.len()]);
        start_engine(&store, record, &runs, place)
    });
    let engines = engines.collect();
    let folder = folder();
    let vms = (0..vms).map(|index| {
        let zone = ZONES[index % ZONES.len()];
        Vm::new(
            &store,
            &folder,
            &format!("front-{zone}-{}", index / ZONES.len() + 1),
            zone,
        )
    });
    let vms = vms.collect();
    Site {
        store,
        record: Arc::clone(record),
        runs,
        vms,
        engines,
    }
}

fn folder() -> PathBuf {
    PathBuf::from(std::env::var("REVIEW_FOLDER").expect("REVIEW_FOLDER is set"))
}

impl Site {
    /// Waits until all VMs are ready.
    fn wait_ready(&self) {
        for _ in 0..150 {
            if self.vms.iter().all(Vm::is_ready) {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
        panic!("not all VMs got ready");
    }

    /// Sets the state of the store for all VMs but those of zones that are cut off.
    fn set_store(&self, cut_off: &[&str], mode: u8, what: &str) {
        self.record.write(&format!("platform: {what}"));
        let vms = self.vms.iter();
        let reached = vms.filter(|vm| !cut_off.contains(&vm.zone.as_str()));
        reached.for_each(|vm| vm.set_store(mode));
    }

    /// Sends turns of each program through a VM, one after the other and at most
    /// `turns`, until one is refused `refusals` times. Programs run side by side. Adds
    /// the tokens that clients got to `spent`.
    fn run_programs(&self, vm: usize, turns: usize, refusals: usize, spent: &Spent) {
        let address = self.vms[vm].callers;
        let programs: Vec<_> = (0..PROGRAMS)
            .map(|index| {
                let (record, spent) = (Arc::clone(&self.record), Arc::clone(spent));
                thread::spawn(move || {
                    // Not all at the same moment.
                    thread::sleep(Duration::from_millis(25 * index as u64));
                    let program = format!("p{index}");
                    let mut refused = 0;
                    let mut served = 0;
                    while served < turns && refused < refusals {
                        let answer = turn(&record, address, (&program, BUDGET), TURN);
                        let tokens = answer.events().len() as u64 * TOKENS_PER_EVENT;
                        *spent
                            .lock()
                            .expect("spent")
                            .entry(program.clone())
                            .or_default() += tokens;
                        if answer.status == 200 {
                            served += 1;
                        } else {
                            refused += 1;
                            thread::sleep(Duration::from_millis(200));
                        }
                    }
                })
            })
            .collect();
        for program in programs {
            program.join().expect("client");
        }
    }
}

/// Tokens that clients got, by program.
type Spent = Arc<Mutex<BTreeMap<String, u64>>>;

/// BUDGET: more than the budget and the most of one turn.
fn judge_budget(record: &Record, spent: &Spent) -> bool {
    let bound = BUDGET + TURN;
    let spent = spent.lock().expect("spent");
    for (program, tokens) in spent.iter() {
        let verdict = if *tokens > bound { "BROKEN" } else { "kept" };
        record.write(&format!(
            "check: {program} got {tokens} tokens, bound {bound}: {verdict}"
        ));
    }
    let broken = spent.values().filter(|tokens| **tokens > bound).count();
    record.write(&format!(
        "check: BUDGET is broken for {broken} of {} programs",
        spent.len()
    ));
    broken > 0
}

/// The store is down twice for 7 s, and in the first outage one VM is killed.
fn forgotten_allowance(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut site = site_with(record, CONFIG, 6, &["engines"; 4]);
    site.vms.iter_mut().for_each(Vm::start);
    site.wait_ready();
    let spent = Spent::default();
    // Traffic starts 10 s after the machines do.
    record.wait_until(10.0);
    site.run_programs(0, 5, 3, &spent);
    record.wait_until(14.0);
    if has_trouble {
        site.set_store(&[], SILENT, "the store is down");
    }
    record.wait_until(16.0);
    site.run_programs(0, usize::MAX, 2, &spent);
    if has_trouble {
        let killed = site.vms.len() - 1;
        record.write(&format!("process of {} is killed", site.vms[killed].name));
        site.vms[killed].kill();
        record.wait_until(21.0);
        site.set_store(&[], SERVES, "the store is back");
        record.wait_until(22.0);
        site.vms[killed].start();
        record.write("it starts again");
        site.wait_ready();
    }
    record.wait_until(28.0);
    site.run_programs(0, usize::MAX, 2, &spent);
    record.wait_until(36.0);
    if has_trouble {
        site.set_store(&[], SILENT, "the store is down");
    }
    record.wait_until(38.0);
    site.run_programs(0, usize::MAX, 2, &spent);
    record.wait_until(43.0);
    site.set_store(&[], SERVES, "the store serves");
    judge_budget(record, &spent)
}

/// The store is slow as programs begin. They go on with pauses that are shorter than the
/// retention, until their budgets are spent.
fn forgotten_reserve(record: &Arc<Record>, has_trouble: bool) -> bool {
    let config = CONFIG.replace("\"retention_s\": 60.0", "\"retention_s\": 18.0");
    let mut site = site_with(record, &config, 6, &["engines"; 4]);
    site.vms.iter_mut().for_each(Vm::start);
    site.wait_ready();
    let spent = Spent::default();
    // Traffic starts 10 s after the machines do.
    record.wait_until(10.0);
    if has_trouble {
        site.set_store(&[], SLOW, "the store is slow, x 60");
    }
    // Two lines of turns of each program.
    thread::scope(|scope| {
        scope.spawn(|| site.run_programs(0, 1, 3, &spent));
        scope.spawn(|| site.run_programs(0, 1, 3, &spent));
    });
    record.wait_until(14.5);
    site.set_store(&[], SERVES, "the store serves as before");
    for second in [22.0, 34.0, 46.0, 58.0, 70.0, 82.0] {
        record.wait_until(second);
        site.run_programs(0, 1, 3, &spent);
    }
    record.wait_until(94.0);
    site.run_programs(0, usize::MAX, 3, &spent);
    judge_budget(record, &spent)
}

/// A program that loops comes back within the retention each time. The VMs are stopped and
/// started in turn, so that its caller goes on to another VM each time.
fn deleted_row(record: &Arc<Record>, has_trouble: bool) -> bool {
    let config = CONFIG.replace("\"retention_s\": 60.0", "\"retention_s\": 18.0");
    let mut site = site_with(record, &config, 8, &["engines"; 4]);
    site.vms.iter_mut().for_each(Vm::start);
    site.wait_ready();
    let spent = Spent::default();
    // Traffic starts 10 s after the machines do.
    record.wait_until(10.0);
    site.run_programs(0, usize::MAX, 2, &spent);
    let mut vm = 1;
    for second in [26.0, 40.0, 54.0, 68.0, 82.0, 96.0] {
        record.wait_until(second);
        record.write(&format!(
            "clients: the next turns go through {}",
            site.vms[vm].name
        ));
        site.run_programs(vm, usize::MAX, 1, &spent);
        if has_trouble && second < 96.0 {
            record.write(&format!(
                "{} gets SIGTERM and starts again",
                site.vms[vm].name
            ));
            site.vms[vm].stop();
            site.vms[vm].start();
            site.wait_ready();
            vm += 1;
        }
    }
    judge_budget(record, &spent)
}

/// All processes are killed at the same moment, and start again 1 s later; or, `in_turn`,
/// they are stopped as planned and started one after the other. Each program has one turn,
/// and a budget that holds it.
fn unserved(record: &Arc<Record>, has_trouble: bool, in_turn: bool) -> bool {
    let mut site = site_with(record, CONFIG, 6, &["engines"; 6]);
    site.vms.iter_mut().for_each(Vm::start);
    site.wait_ready();
    // Traffic starts 10 s after the machines do.
    record.wait_until(10.0);
    let before = single_turns(&site, 20.0);
    record.wait_until(20.0);
    if has_trouble && in_turn {
        for vm in &mut site.vms {
            record.write(&format!("{} gets SIGTERM and starts again", vm.name));
            vm.stop();
            vm.start();
        }
    } else if has_trouble {
        record.write("all processes are killed");
        site.vms.iter_mut().for_each(Vm::kill);
        record.wait_until(21.0);
        record.write("they start again");
        site.vms.iter_mut().for_each(Vm::start);
    }
    site.wait_ready();
    let back_s = record.elapsed().as_secs_f64();
    let during = single_turns(&site, back_s + RECOVER_S);
    let after = single_turns(&site, back_s + RECOVER_S + 16.0);
    let share = |(served, sent): (u64, u64)| served as f64 / sent.max(1) as f64;
    for (when, counts) in [
        ("before the fault", before),
        ("in the 12 s after it", during),
        ("later", after),
    ] {
        let (served, sent) = counts;
        record.write(&format!(
            "check: {when}, {served} of {sent} requests were served"
        ));
    }
    share(before) >= 0.25 && share(after) < 0.25
}

/// Sends programs of one turn through all VMs until a time since the start; returns how
/// many were served, and sent.
fn single_turns(site: &Site, until_s: f64) -> (u64, u64) {
    let lines: Vec<_> = (0..12)
        .map(|line| {
            let address = site.vms[line % site.vms.len()].callers;
            let record = Arc::clone(&site.record);
            thread::spawn(move || {
                let (mut served, mut sent) = (0, 0);
                while record.elapsed().as_secs_f64() < until_s {
                    let program = fleet::next_id("one");
                    let answer = turn(&record, address, (&program, ONE_TURN_BUDGET), TURN);
                    sent += 1;
                    served += u64::from(answer.status == 200 && answer.is_complete);
                    thread::sleep(Duration::from_millis(300));
                }
                (served, sent)
            })
        })
        .collect();
    let counts = lines.into_iter().map(|line| line.join().expect("client"));
    counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
}

/// Sends streams that belong to no program through all VMs, `lines` side by side, until a
/// time since the start.
fn run_streams(site: &Site, lines: usize, until_s: f64) {
    let clients: Vec<_> = (0..lines)
        .map(|line| {
            let address = site.vms[line % site.vms.len()].callers;
            let record = Arc::clone(&site.record);
            thread::spawn(move || {
                while record.elapsed().as_secs_f64() < until_s {
                    stream_once(&record, address);
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    for client in clients {
        client.join().expect("client");
    }
}

/// Another writer's entry, with fields missing, stands for a moment under the id of an
/// engine of another service.
fn partial_entry(record: &Arc<Record>, has_trouble: bool) -> bool {
    let services = ["engines", "engines", "desks", "desks"];
    let mut site = site_with(record, CONFIG, 3, &services);
    site.vms.iter_mut().for_each(Vm::start);
    site.wait_ready();
    record.wait_until(10.0);
    let (store, writer_record) = (Arc::clone(&site.store), Arc::clone(record));
    let (id, address) = (site.engines[3].id.clone(), site.engines[3].address);
    let writer = thread::spawn(move || {
        for second in 12..17 {
            writer_record.wait_until(f64::from(second) + 0.3);
            if has_trouble {
                let entry = format!(
                    "{{\"service\":\"engines\",\"address\":\"{address}\",\"version\":\"1\",\"state\":\"ready\"}}"
                );
                writer_record.write(&format!("platform: another writer's entry {id}: {entry}"));
                store.put("servers", &id, Some(&entry));
            }
        }
    });
    run_streams(&site, 12, 20.0);
    writer.join().expect("writer");
    let runs = site.runs.lock().expect("runs");
    let is_wrong = |run: &&Run| {
        run.target.starts_with("/stream/") && (run.engine == "i-2" || run.engine == "i-3")
    };
    let wrong = runs.iter().filter(is_wrong).count();
    record.write(&format!(
        "check: {wrong} of {} requests of the route to engines ran at desks",
        runs.len()
    ));
    wrong > 0
}

/// Links of all VMs, each with the zones at its ends.
struct Links(Vec<(Link, String, String)>);

impl Links {
    /// Puts a link between each VM and each other one, and each VM and each engine. To be
    /// called before the VMs start.
    fn put(site: &Site) -> Links {
        let mut links = Vec::new();
        let mut between = BTreeMap::new();
        let add = |vm: &Vm, to: SocketAddr| {
            let link = Link::start(free_port(), to);
            let mut view = vm.view.lock().expect("view");
            view.insert(to.to_string(), link.address.to_string());
            link
        };
        for (from, vm) in site.vms.iter().enumerate() {
            for (to, other) in site.vms.iter().enumerate().filter(|(to, _)| *to != from) {
                between.insert((from, to), add(vm, other.peers));
            }
            for engine in &site.engines {
                links.push((
                    add(vm, engine.address),
                    vm.zone.clone(),
                    engine.zone.clone(),
                ));
            }
        }
        for ((from, to), link) in &between {
            link.pass_datagrams(&between[&(*to, *from)], site.vms[*to].peers);
        }
        for ((from, to), link) in between {
            let zones = (site.vms[from].zone.clone(), site.vms[to].zone.clone());
            links.push((link, zones.0, zones.1));
        }
        Links(links)
    }

    /// Cuts a zone off from the others and from the store.
    fn cut(&self, site: &Site, zone: &str) {
        site.record.write(&format!("network: {zone} is cut off"));
        self.set_cut(zone, true);
        let vms = site.vms.iter().filter(|vm| vm.zone == zone);
        vms.for_each(|vm| vm.set_store(SILENT));
    }

    /// Ends the cut of a zone; the store then is in this state for it.
    fn heal(&self, site: &Site, zone: &str, store: u8) {
        site.record
            .write(&format!("network: {zone} is cut off no more"));
        self.set_cut(zone, false);
        let vms = site.vms.iter().filter(|vm| vm.zone == zone);
        vms.for_each(|vm| vm.set_store(store));
    }

    fn set_cut(&self, zone: &str, is_cut: bool) {
        for (link, from, to) in &self.0 {
            if (from == zone) != (to == zone) {
                link.set_cut(is_cut);
            }
        }
    }
}

/// A zone is cut off; the store is down as it returns; then another zone is cut off.
fn zone_after_zone(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut site = site_with(record, CONFIG, 6, &["engines"; 6]);
    let links = Links::put(&site);
    site.vms.iter_mut().for_each(Vm::start);
    site.wait_ready();
    let spent = Spent::default();
    // Traffic starts 10 s after the machines do.
    record.wait_until(10.0);
    site.run_programs(0, usize::MAX, 2, &spent);
    record.wait_until(18.0);
    if has_trouble {
        links.cut(&site, ZONES[0]);
    }
    record.wait_until(20.0);
    site.run_programs(0, usize::MAX, 1, &spent);
    record.wait_until(22.5);
    if has_trouble {
        site.set_store(&[], SILENT, "the store is down");
    }
    record.wait_until(23.5);
    if has_trouble {
        links.heal(&site, ZONES[0], SILENT);
    }
    record.wait_until(24.5);
    if has_trouble {
        links.cut(&site, ZONES[1]);
    }
    record.wait_until(26.0);
    site.run_programs(1, usize::MAX, 1, &spent);
    record.wait_until(27.0);
    if has_trouble {
        site.set_store(&[ZONES[1]], SERVES, "the store is back");
    }
    record.wait_until(30.0);
    if has_trouble {
        links.heal(&site, ZONES[1], SERVES);
    }
    record.wait_until(34.0);
    judge_budget(record, &spent)
}

/// A VM is stopped as planned, and half a second later its zone is cut off.
fn two_coordinators(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut site = site_with(record, CONFIG, 7, &["engines"; 6]);
    let links = Links::put(&site);
    site.vms.iter_mut().for_each(Vm::start);
    site.wait_ready();
    let spent = Spent::default();
    let stopped = 6;
    // Traffic starts 10 s after the machines do.
    record.wait_until(10.0);
    site.run_programs(0, usize::MAX, 2, &spent);
    record.wait_until(18.0);
    if has_trouble {
        record.write(&format!("{} gets SIGTERM", site.vms[stopped].name));
        site.vms[stopped].terminate();
    }
    record.wait_until(18.5);
    if has_trouble {
        links.cut(&site, ZONES[0]);
    }
    // The balancer sends callers to a VM for up to 2 s after SIGTERM.
    record.wait_until(18.6);
    site.run_programs(stopped, usize::MAX, 1, &spent);
    record.wait_until(20.5);
    site.run_programs(0, usize::MAX, 1, &spent);
    record.wait_until(24.0);
    if has_trouble {
        links.heal(&site, ZONES[0], SERVES);
        site.vms[stopped].stop();
        record.write("it has stopped, and starts again");
        site.vms[stopped].start();
    }
    record.wait_until(30.0);
    judge_budget(record, &spent)
}

fn run() -> bool {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        panic!("usage: review-rig CASE RECORD");
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(Path::new(record));
    record.write(&format!("case {case}, with the disruption: {has_trouble}"));
    let is_broken = match case.as_str() {
        "two-coordinators" => two_coordinators(&record, has_trouble),
        "zone-after-zone" => zone_after_zone(&record, has_trouble),
        "forgotten-allowance" => forgotten_allowance(&record, has_trouble),
        "forgotten-reserve" => forgotten_reserve(&record, has_trouble),
        "deleted-row" => deleted_row(&record, has_trouble),
        "unserved" => unserved(&record, has_trouble, false),
        "unserved-in-turn" => unserved(&record, has_trouble, true),
        "partial-entry" => partial_entry(&record, has_trouble),
        _ => panic!("unknown case"),
    };
    println!("{case}: rule {}", if is_broken { "broken" } else { "held" });
    is_broken
}

fn main() {
    // A panic ends the case, and with it the VMs that it started.
    match std::panic::catch_unwind(run) {
        Ok(is_broken) => exit(i32::from(is_broken)),
        Err(_) => exit(2),
    }
}
