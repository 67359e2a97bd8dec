// An engine fails part of the bookings that it works on, and answers these with 503 without
// saying that they have not run. The system passes the 503 on, which promises that.

use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::thread;

use crate::base::*;

const TRAFFIC_MS: u64 = 10_000;
/// Share of the engines' bookings that fail, and for how long.
const FAILING_PERCENT: u64 = 45;
const FAILING_MS: u64 = 6_500;
const CLIENTS: usize = 36;

pub fn run(files: &str, has_trouble: bool) -> (bool, String) {
    let store = Store::start();
    let route = ",{\"name\":\"bookings\",\"host\":\"agents.example\",\"prefix\":\"/bookings/\",\
        \"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":2,\
        \"service\":\"desks\",\"max_attempts\":1}";
    let service = ",{\"name\":\"desks\",\"health_path\":\"/health\",\"max_connections\":96,\
        \"protocol\":\"h1\",\"tls\":false}";
    store.put("op", "config", Some(&config(route, service)));
    let desks: Vec<Engine> = (0..8)
        .map(|number| {
            let zone = ["a", "b"][number % 2];
            Engine::start(&store, &format!("i-desk{number}"), "desks", zone, 8)
        })
        .collect();
    let mut vms: Vec<Vm> = ["front-a-1", "front-b-1"]
        .iter()
        .map(|name| Vm::new(files, name, &name[6..7], store.address))
        .collect();
    let begun_ms = elapsed_ms();
    vms.iter_mut().for_each(|vm| vm.start(true));
    wait_until_ms(begun_ms + TRAFFIC_MS);
    if !vms.iter().all(Vm::is_ready) {
        could_not_run("a machine is not ready");
    }
    let refused: Mutex<Vec<String>> = Mutex::default();
    let failed_from = begun_ms + TRAFFIC_MS + 1_000;
    let last_ms = failed_from + FAILING_MS;
    thread::scope(|scope| {
        scope.spawn(|| {
            wait_until_ms(failed_from);
            if has_trouble {
                note("trouble: one engine fails part of its requests");
                desks[3].failing_percent.store(FAILING_PERCENT, Ordering::SeqCst);
            }
            wait_until_ms(last_ms);
            desks[3].failing_percent.store(0, Ordering::SeqCst);
            note("trouble: it has ended");
        });
        for client in 0..CLIENTS {
            let (refused, vms) = (&refused, &vms);
            scope.spawn(move || {
                while elapsed_ms() < last_ms {
                    let booking = format!("{:08x}", random() >> 32);
                    // A client sends a booking again only after a promise.
                    for attempt in 0..2 {
                        let vm = &vms[(client + attempt) % vms.len()];
                        let id = format!("{:016x}", random());
                        let request = format!(
                            "POST /bookings/{booking} HTTP/1.1\r\nHost: agents.example\r\n\
                             Connection: close\r\nLagoonscale-Request-Id: {id}\r\n\
                             Lagoonscale-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nbook"
                        );
                        note(&format!("sent {} {id} booking {booking}", vm.name));
                        let answer = ask(vm.front, &request, 4_000);
                        note(&format!("got  {} {id} booking {booking} status {}", vm.name, answer.status));
                        if !matches!(answer.status, 408 | 421 | 429 | 503) {
                            break;
                        }
                        refused.lock().unwrap().push(id);
                        sleep_ms(answer.retry_after_ms.max(20).min(1_000));
                    }
                    sleep_ms(30);
                }
            });
        }
    });
    let refused = refused.into_inner().unwrap();
    let ran: Vec<String> = desks.iter().flat_map(|desk| desk.ran.lock().unwrap().clone()).collect();
    let broken: Vec<&String> = refused.iter().filter(|id| ran.contains(id)).collect();
    for id in &broken {
        note(&format!("sum  request {id} was answered with a promise that it has not run, and ran"));
    }
    drop(vms);
    let why = format!("{} of {} bookings that ran were answered with 503", broken.len(), ran.len());
    (!broken.is_empty(), why)
}
