//! The program of `scripts/trial`, as a caller's agent would run it.

use std::io::Write;
use std::net::SocketAddr;

use serde_json::json;

use crate::caller::{Client, Reply};

/// Runs the program with its calls spread over two VMs, and prints the responses.
///
/// # Errors
///
/// Fails if a response is missing or is not the expected one.
pub fn run_program(first: SocketAddr, second: SocketAddr) -> Result<(), String> {
    let one = Client::new(first, "grower-desk-key");
    let two = Client::new(second, "grower-desk-key");

    println!("-- call 1: quote, through {first}");
    let reply = chat(
        &one,
        "Quote 40 stacks of grade A cork oak bark at Hitoyoshi.",
        24,
        &[],
    )?;
    let program = reply.program.clone();
    println!("   program {program}");

    println!("-- call 2: stock of the grove, through {second}");
    let headers = [("Lagoon-Program", program.as_str()), ("Lagoon-Call", "2")];
    call_service(&two, "quote-lookup", &headers, "lookup")?;

    println!("-- sub-agent under {program}: draft, through {second}");
    let child = [
        ("Lagoon-Program", "draft"),
        ("Lagoon-Parent", program.as_str()),
        ("Lagoon-Call", "1"),
    ];
    let draft = chat(&two, "Draft the harvest contract for grove 7.", 24, &child)?;
    println!("   program {}", draft.program);

    println!("-- call 3: booking, which must not run twice, through {first}");
    let headers = [("Lagoon-Program", program.as_str()), ("Lagoon-Call", "3")];
    let booking = call_service(&one, "booking", &headers, "slot 14, grove 7")?;

    println!("-- call 3 again, through {second}: returns the recorded response");
    let repeated = call_service(&two, "booking", &headers, "slot 14, grove 7")?;
    if repeated.text != booking.text {
        return Err(format!(
            "booking returned {} and, when repeated, {}",
            booking.text, repeated.text
        ));
    }

    println!("-- call 3 with different content: rejected");
    let body = json!({"request": "slot 15, grove 7"});
    let rejected = one.call_service("booking", &headers, &body)?;
    println!("   {} {}", rejected.status, rejected.text);
    if rejected.status != 409 {
        return Err(format!("expected status 409, got {}", rejected.status));
    }

    println!("-- call 4: confirmation, through {second}");
    let headers = [("Lagoon-Program", program.as_str()), ("Lagoon-Call", "4")];
    chat(&two, "Confirm slot 14 to the grower.", 16, &headers)?;
    println!("-- second market: a plan for a plant");
    let plant = Client::new(first, "penang-plants-key");
    stream_chat(
        &plant,
        "planner",
        "Plan which chillers line 3 sheds for 20 minutes.",
        24,
        &[],
    )?;
    println!("program={program}");
    Ok(())
}

fn chat(
    client: &Client,
    prompt: &str,
    tokens: u64,
    headers: &[(&str, &str)],
) -> Result<Reply, String> {
    stream_chat(client, "contract-agent", prompt, tokens, headers)
}

fn stream_chat(
    client: &Client,
    model: &str,
    prompt: &str,
    tokens: u64,
    headers: &[(&str, &str)],
) -> Result<Reply, String> {
    print!("   ");
    let reply = client.chat(model, prompt, tokens, headers, |text| {
        print!("{text}");
        // A closed standard output makes the next `print!` panic.
        let _ = std::io::stdout().flush();
    })?;
    println!("\n   {}", reply.summary);
    if !reply.complete {
        return Err(format!(
            "incomplete response: status {}, {}",
            reply.status, reply.text
        ));
    }
    Ok(reply)
}

fn call_service(
    client: &Client,
    name: &str,
    headers: &[(&str, &str)],
    request: &str,
) -> Result<Reply, String> {
    let reply = client.call_service(name, headers, &json!({"request": request}))?;
    println!("   {} {}", reply.status, reply.text);
    println!("   {}", reply.summary);
    if reply.status != 200 {
        return Err(format!("{name} returned status {}", reply.status));
    }
    Ok(reply)
}
