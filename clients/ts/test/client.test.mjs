// Tests of the client with a simulated front, whose messages the tests write one by one.
import { test } from "node:test";
import assert from "node:assert/strict";
import { once } from "node:events";
import WebSocket, { WebSocketServer } from "ws";
import { Client, Refused, subprotocol } from "../dist/index.js";

const grant = (play, rungs = 1) => ({ play, token: "t-" + play, base: "http://127.0.0.1:1/m/", title: "clip",
  rungs: Array.from({ length: rungs }, (_, i) => ({ rung: i, id: "r" + i, bits: 1000 * (i + 1) })), segment_ms: 2000 });

/** Starts a simulated front. next() returns its received messages one by one, each with its socket and a function to reply. */
async function startFront() {
  const server = new WebSocketServer({ port: 0, host: "127.0.0.1", handleProtocols: p => p.has(subprotocol) && subprotocol });
  await once(server, "listening");
  const received = [], waiting = [];
  server.on("connection", ws => ws.on("message", text => {
    const m = { ...JSON.parse(text), ws, reply: r => ws.send(JSON.stringify({ ticket: m.ticket, ...r })) };
    const deliver = waiting.shift();
    if (deliver) deliver(m); else received.push(m);
  }));
  return {
    url: "ws://127.0.0.1:" + server.address().port,
    next: () => received.length ? Promise.resolve(received.shift()) : new Promise(resolve => waiting.push(resolve)),
    close: () => { for (const c of server.clients) c.terminate(); server.close(); },
  };
}

const newClient = (...fronts) => new Client({ fronts: fronts.map(f => f.url), viewer: "v", WebSocket, herdMs: 20 });
const nextEvent = play => new Promise(resolve => play.onEvent(resolve));

test("requests a play once, acknowledges messages, receives rung changes, and ends the play", async () => {
  const f = await startFront(), c = newClient(f);
  const asked = c.ask({ title: "clip", product: "p", top: 1 });
  await assert.rejects(c.ask({ title: "clip", product: "p" }), Refused);
  const ask = await f.next();
  assert.equal(ask.type, "ask");
  assert.match(ask.ticket, /^[A-Za-z0-9_-]{16,64}$/);
  ask.reply({ type: "answer", cursor: 1, verdict: "plays", grant: grant("p1") });
  const play = await asked;
  assert.deepEqual(await f.next().then(m => [m.type, m.cursor]), ["ack", 1]);
  const changed = nextEvent(play);
  ask.reply({ type: "rung", cursor: 2, grant: grant("p1", 2) });
  ask.reply({ type: "rung", cursor: 2, grant: grant("p1", 1) }); // a duplicate
  assert.equal((await changed).type, "rung");
  assert.equal(play.grant.rungs.length, 2);
  await f.next();
  play.leave();
  assert.equal((await f.next()).type, "bye");
  c.close(); f.close();
});

test("honors the advised retry delay, and rejects when no retries are left", async () => {
  const f = await startFront(), c = newClient(f);
  const asked = c.ask({ title: "clip", product: "p", tries: 1 });
  const first = await f.next(), answeredAt = Date.now();
  first.reply({ type: "answer", cursor: 1, verdict: "declined", why: "full", come_back_ms: 300 });
  let second = await f.next();
  while (second.type !== "ask") second = await f.next();
  assert.ok(Date.now() - answeredAt >= 295, "asked again before the advised delay");
  assert.notEqual(second.ticket, first.ticket);
  second.reply({ type: "answer", cursor: 1, verdict: "declined", why: "full" });
  await assert.rejects(asked, e => e instanceof Refused && e.verdict === "declined");
  c.close(); f.close();
});

test("resumes by ticket and cursor at another front, and asks with its token if that front does not know the play", async () => {
  const a = await startFront(), b = await startFront(), c = newClient(a, b);
  const asked = c.ask({ title: "clip", product: "p", tries: 3 });
  const ask = await a.next();
  ask.reply({ type: "answer", cursor: 1, verdict: "plays", grant: grant("p1") });
  const play = await asked;
  const events = [];
  play.onEvent(e => events.push(e.type));
  a.close();
  const resume = await b.next();
  assert.deepEqual([resume.type, resume.ticket, resume.cursor, resume.token], ["resume", ask.ticket, 1, "t-p1"]);
  resume.reply({ type: "unknown" });
  const second = await b.next();
  assert.deepEqual([second.type, second.token], ["ask", "t-p1"]);
  second.reply({ type: "answer", cursor: 1, verdict: "plays", grant: grant("p2") });
  await b.next();
  assert.deepEqual(events, ["away", "moved"]);
  assert.equal(play.grant.play, "p2");
  c.close(); b.close();
});

test("after a disconnect a pending request is resumed at the same front, not repeated", async () => {
  const f = await startFront(), c = newClient(f);
  const asked = c.ask({ title: "clip", product: "p" });
  const ask = await f.next();
  ask.ws.terminate();
  const resume = await f.next();
  assert.deepEqual([resume.type, resume.ticket, resume.cursor], ["resume", ask.ticket, 0]);
  resume.reply({ type: "answer", cursor: 1, verdict: "plays", grant: grant("p1") });
  assert.equal((await asked).grant.play, "p1");
  c.close(); f.close();
});
