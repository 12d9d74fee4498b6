// Written from the published protocol alone, without the product's adapter, so
// that a misreading there fails a test here. Timers tick every 10 ms.

#include "testing/platform_emulator_stand_in.h"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <algorithm>

#include "lentilscale/json.h"

namespace lentilscale::testing {
namespace {

constexpr Millis kTickMs = 10;
// A smaller capacity binds starts this long after the entry must show it.
constexpr Millis kContactMs = 3000;
constexpr Millis kMaxHoldMs = 10000;
constexpr Millis kGangWaitMs = 3000;
constexpr std::size_t kPageItems = 500;
constexpr std::size_t kPageBytes = 1 << 20;
constexpr Millis kTicketValidMs = 2000;
// The published rule: a task that has crashed this many workers must not be
// started that often again.
constexpr int kMaxCrashes = 3;
constexpr int kForbiddenStart = 3;

auto Listen(uv_loop_t* loop, HttpServer::Handler handler)
    -> std::pair<std::unique_ptr<HttpServer>, std::string> {
  auto server =
      HttpServer::Listen(loop, "127.0.0.1", 0, {}, std::move(handler));
  auto address = fmt::format("127.0.0.1:{}", (*server)->port());
  return {*std::move(server), address};
}

auto ToBase64(const std::string& text) -> std::string {
  std::string out(4 * ((text.size() + 2) / 3), '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                  reinterpret_cast<const unsigned char*>(text.data()),
                  static_cast<int>(text.size()));
  return out;
}

auto FromBase64(const std::string& text) -> std::string {
  std::string out(3 * (text.size() / 4) + 3, '\0');
  const auto length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  const auto padding = std::count(text.begin(), text.end(), '=');
  out.resize(static_cast<std::size_t>(length - padding));
  return out;
}

// Returns the number behind "NAME=" in a task's text, or `fallback`.
auto Figure(const std::string& spec, const std::string& name,
            std::int64_t fallback) -> std::int64_t {
  const auto at = spec.find(name + "=");
  return at == std::string::npos
             ? fallback
             : std::atoll(spec.c_str() + at + name.size() + 1);
}

auto JobOf(const std::string& task) -> std::string {
  return task.substr(0, task.find('.'));
}

auto StepOf(const std::string& task) -> std::string {
  return task.substr(0, task.rfind('.'));
}

// Returns true if the faults in the task's text are of this task, too.
auto IsFaulty(const std::string& spec, const std::string& task) -> bool {
  const auto index = std::atoll(task.c_str() + task.rfind('.') + 1);
  return Figure(spec, "only", index) == index;
}

}  // namespace

EmulatedStore::EmulatedStore(uv_loop_t* loop) : loop_(loop) {
  std::tie(server_, address_) =
      Listen(loop, [this](const HttpRequest& request,
                          const std::shared_ptr<HttpReply>& reply) {
        Handle(request, reply, kNoEntrance);
      });
  tick_ = std::make_unique<RepeatingTimer>(loop, kTickMs, [this] { Tick(); });
}

auto EmulatedStore::AddEntrance() -> std::size_t {
  const auto number = entrances_.size();
  entrances_.emplace_back();
  auto [server, address] =
      Listen(loop_, [this, number](const HttpRequest& request,
                                   const std::shared_ptr<HttpReply>& reply) {
        const auto mode = entrances_[number].mode_;
        if (mode == Mode::kRefusing) {
          reply->Send(503, "{}");
        } else if (mode == Mode::kSilent) {
          unanswered_.push_back(reply);
        } else {
          Handle(request, reply, number);
        }
      });
  entrances_[number].server_ = std::move(server);
  entrances_[number].address_ = address;
  return number;
}

auto EmulatedStore::DropHistory() -> void {
  changes_.clear();
  first_kept_ = revision_ + 1;
  for (auto& watcher : watchers_) {
    watcher.reply_->Send(410, "{}");
  }
  watchers_.clear();
}

auto EmulatedStore::Put(const std::string& key, const std::string& value)
    -> void {
  ++revision_;
  Write(key, value, 0);
  AnswerWatchers();
}

auto EmulatedStore::Remove(const std::string& key) -> void {
  ++revision_;
  Erase(key);
  AnswerWatchers();
}

auto EmulatedStore::Get(const std::string& key) const -> std::string {
  const auto it = items_.find(key);
  return it == items_.end() ? "" : it->second.value_;
}

auto EmulatedStore::Write(const std::string& key, const std::string& value,
                          std::int64_t lease) -> void {
  auto& item = items_[key];
  item.value_ = value;
  item.created_ = item.created_ == 0 ? revision_ : item.created_;
  item.revision_ = revision_;
  item.lease_ = lease;
  changes_.push_back({revision_, key, false, item});
}

auto EmulatedStore::Erase(const std::string& key) -> void {
  if (items_.erase(key) > 0) {
    changes_.push_back({revision_, key, true, {}});
  }
}

auto EmulatedStore::ItemToJson(const std::string& key, const Item& item) const
    -> Json::Value {
  Json::Value out(Json::objectValue);
  out["key"] = key;
  out["value"] = ToBase64(item.value_);
  out["revision"] = Json::Int64{item.revision_};
  out["created"] = Json::Int64{item.created_};
  out["lease"] = Json::Int64{item.lease_};
  return out;
}

auto EmulatedStore::Apply(const Json::Value& body)
    -> std::pair<int, Json::Value> {
  Json::Value answer(Json::objectValue);
  auto holds = true;
  for (const auto& row : body["expected_rev"]) {
    const auto it = items_.find(row["key"].asString());
    const auto revision = it == items_.end() ? 0 : it->second.revision_;
    holds = holds && revision == row["revision"].asInt64();
    if (it != items_.end()) {
      answer["items"].append(ItemToJson(it->first, it->second));
    }
  }
  if (!holds) {
    return {412, answer};
  }
  for (const auto& put : body["puts"]) {
    const auto lease = put["lease"].asInt64();
    if (lease != 0 && !leases_.contains(lease)) {
      return {404, Json::Value(Json::objectValue)};
    }
  }
  ++revision_;
  for (const auto& put : body["puts"]) {
    Write(put["key"].asString(), FromBase64(put["value"].asString()),
          put["lease"].asInt64());
  }
  for (const auto& key : body["deletes"]) {
    Erase(key.asString());
  }
  AnswerWatchers();
  answer = Json::Value(Json::objectValue);
  answer["revision"] = Json::Int64{revision_};
  return {200, answer};
}

auto EmulatedStore::HandleTransaction(const Json::Value& body,
                                      const std::shared_ptr<HttpReply>& reply)
    -> void {
  if (late_transactions_ > 0) {
    --late_transactions_;
    unanswered_.push_back(reply);
    RunAfter(loop_, late_ms_, [this, body] { Apply(body); });
    return;
  }
  const auto [status, answer] = Apply(body);
  if (answers_to_lose_ > 0) {
    --answers_to_lose_;
    unanswered_.push_back(reply);
    return;
  }
  reply->Send(status, DumpJson(answer));
}

auto EmulatedStore::Handle(const HttpRequest& request,
                           const std::shared_ptr<HttpReply>& reply,
                           std::size_t entrance) -> void {
  if (mode_ == Mode::kRefusing) {
    reply->Send(503, "{}");
    return;
  }
  if (mode_ == Mode::kSilent) {
    unanswered_.push_back(reply);
    return;
  }
  Json::Value answer(Json::objectValue);
  answer["at_revision"] = Json::Int64{revision_};
  if (request.path_ == "/kv-key") {
    const auto key = request.QueryParam("key", "");
    if (refused_ranges_.contains(key)) {
      reply->Send(429, "{}");
      return;
    }
    const auto it = items_.find(key);
    if (it == items_.end()) {
      reply->Send(404, DumpJson(answer));
      return;
    }
    answer = ItemToJson(it->first, it->second);
    answer["at_revision"] = Json::Int64{revision_};
    ++value_answers_[{entrance, it->first}];
    reply->Send(200, DumpJson(answer));
  } else if (request.path_ == "/kv-range") {
    const auto prefix = request.QueryParam("prefix", "");
    const auto after = request.QueryParam("after", "");
    if (refused_ranges_.contains(prefix)) {
      reply->Send(429, "{}");
      return;
    }
    answer["items"] = Json::Value(Json::arrayValue);
    answer["truncated"] = false;
    std::size_t bytes = 0;
    for (const auto& [key, item] : items_) {
      if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
        continue;
      }
      if (answer["items"].size() == kPageItems || bytes > kPageBytes) {
        answer["truncated"] = true;
        break;
      }
      bytes += item.value_.size();
      answer["items"].append(ItemToJson(key, item));
      ++value_answers_[{entrance, key}];
    }
    reply->Send(200, DumpJson(answer));
    if (page_hook_) {
      page_hook_(prefix);
    }
  } else if (request.path_ == "/kv-watch") {
    const auto after = std::atoll(request.QueryParam("after", "0").c_str());
    if (after + 1 < first_kept_) {
      reply->Send(410, "{}");
      return;
    }
    const auto wait = std::atoll(request.QueryParam("wait_ms", "0").c_str());
    watchers_.push_back({request.QueryParam("prefix", ""), after,
                         MonotonicMs() + wait, reply, entrance});
    AnswerWatchers();
  } else if (request.path_ == "/kv-txn") {
    HandleTransaction(ParseJson(request.body_), reply);
  } else if (request.path_ == "/kv-lease") {
    const auto ttl = ParseJson(request.body_)["ttl_ms"].asInt64();
    const auto id = next_lease_++;
    leases_[id] = {ttl, MonotonicMs() + ttl};
    Json::Value lease(Json::objectValue);
    lease["lease"] = Json::Int64{id};
    lease["ttl_ms"] = Json::Int64{ttl};
    reply->Send(200, DumpJson(lease));
  } else if (request.path_.starts_with("/kv-keep/")) {
    const auto it = leases_.find(std::atoll(request.path_.c_str() + 9));
    if (it == leases_.end()) {
      reply->Send(404, "{}");
      return;
    }
    it->second.ends_ms_ = MonotonicMs() + it->second.ttl_ms_;
    reply->Send(200, fmt::format("{{\"ttl_ms\":{}}}", it->second.ttl_ms_));
  } else if (request.path_.starts_with("/kv-lease-end/")) {
    const auto it = leases_.find(std::atoll(request.path_.c_str() + 14));
    if (it != leases_.end()) {
      it->second.ends_ms_ = 0;
    }
    reply->Send(200, "{}");
    Tick();
  } else {
    reply->Send(404, "{}");
  }
}

auto EmulatedStore::AnswerWatchers() -> void {
  if (is_deaf_) {
    return;
  }
  const auto now = MonotonicMs();
  std::vector<Watcher> open;
  for (auto& watcher : watchers_) {
    Json::Value answer(Json::objectValue);
    answer["events"] = Json::Value(Json::arrayValue);
    // Changes are in the order of their revisions, and most watchers have seen
    // all but the last ones.
    const auto first =
        std::upper_bound(changes_.begin(), changes_.end(), watcher.after_,
                         [](std::int64_t after, const Change& c) {
                           return after < c.revision_;
                         });
    for (auto it = first; it != changes_.end(); ++it) {
      const auto& change = *it;
      if (!change.key_.starts_with(watcher.prefix_)) {
        continue;
      }
      auto event = ItemToJson(change.key_, change.item_);
      if (change.is_removed_) {
        event = Json::Value(Json::objectValue);
        event["key"] = change.key_;
        event["revision"] = Json::Int64{change.revision_};
        event["removed"] = true;
      } else {
        ++value_answers_[{watcher.entrance_, change.key_}];
      }
      answer["events"].append(event);
    }
    if (answer["events"].empty() && now < watcher.until_ms_) {
      open.push_back(watcher);
      open.back().after_ = std::max(watcher.after_, revision_);
      continue;
    }
    answer["at_revision"] = Json::Int64{revision_};
    watcher.reply_->Send(200, DumpJson(answer));
  }
  watchers_ = std::move(open);
}

auto EmulatedStore::Tick() -> void {
  if (mode_ != Mode::kUp) {
    // Leases pause while the store is down.
    for (auto& [id, lease] : leases_) {
      lease.ends_ms_ += kTickMs;
    }
    return;
  }
  const auto now = MonotonicMs();
  std::set<std::int64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (now > lease.ends_ms_) {
      ended.insert(id);
    }
  }
  for (const auto id : ended) {
    leases_.erase(id);
    ++revision_;
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease_ == id) {
        keys.push_back(key);
      }
    }
    for (const auto& key : keys) {
      Erase(key);
    }
  }
  AnswerWatchers();
}

EmulatedWorker::EmulatedWorker(PlatformEmulator* platform, std::string id,
                               std::string service, std::int64_t cpu_milli,
                               std::int64_t accelerators)
    : platform_(platform),
      id_(std::move(id)),
      service_(std::move(service)),
      cpu_milli_(cpu_milli),
      accelerators_(accelerators) {
  std::tie(server_, address_) =
      Listen(platform->loop_, [this](const HttpRequest& request,
                                     const std::shared_ptr<HttpReply>& reply) {
        Handle(request, reply);
      });
  Restart();
}

auto EmulatedWorker::Crash() -> void {
  for (const auto& [task, run] : running_) {
    if (run.crash_ms_ > 0) {
      ++platform_->crashes_[task];
    }
  }
  running_.clear();
  ForgetEnds();
  // Stands for the reset of the connections.
  for (auto& waiting : waiting_) {
    waiting.reply_->Send(503, "{}");
  }
  waiting_.clear();
  down_until_ms_ = MonotonicMs() + down_ms_;
  if (down_ms_ == 0) {
    Restart();
  }
}

// An end that nobody took note of does not count.
auto EmulatedWorker::ForgetEnds() -> void {
  for (const auto& end : ended_) {
    platform_->done_.erase(end.task_);
  }
  ended_.clear();
}

auto EmulatedWorker::ListenAnew() -> void {
  const auto port = server_->port();
  server_->StopAccepting();
  ended_servers_.push_back(std::move(server_));
  server_ =
      *HttpServer::Listen(platform_->loop_, "127.0.0.1", port, {},
                          [this](const HttpRequest& request,
                                 const std::shared_ptr<HttpReply>& reply) {
                            Handle(request, reply);
                          });
}

auto EmulatedWorker::Restart() -> void {
  if (++lives_ > 1) {
    ListenAnew();
  }
  running_.clear();
  ForgetEnds();
  down_until_ms_ = 0;
  closed_runs_.clear();
  token_ = 0;
  deadline_ms_ = 0;
  next_end_ = 1;
  started_ms_ = MonotonicMs();
  born_ms_ = std::max(WallMs(), born_ms_ + 1);
  WriteEntry();
}

auto EmulatedWorker::SetCapacity(std::int64_t cpu_milli,
                                 std::int64_t accelerators) -> void {
  next_entry_ms_ = MonotonicMs() + platform_->heartbeat_ms_;
  former_capacities_.push_back(
      {cpu_milli_, accelerators_, next_entry_ms_ + kContactMs});
  cpu_milli_ = cpu_milli;
  accelerators_ = accelerators;
}

auto EmulatedWorker::MayHold(std::int64_t cpu_milli, std::int64_t accelerators,
                             Millis now_ms) const -> bool {
  return (cpu_milli <= cpu_milli_ && accelerators <= accelerators_) ||
         std::any_of(former_capacities_.begin(), former_capacities_.end(),
                     [&](const FormerCapacity& former) {
                       return now_ms <= former.until_ms_ &&
                              cpu_milli <= former.cpu_milli_ &&
                              accelerators <= former.accelerators_;
                     });
}

auto EmulatedWorker::ClockMs() const -> Millis {
  // Some start, so that no clock agrees with another by chance.
  return MonotonicMs() - started_ms_ + 7000;
}

auto EmulatedWorker::WriteEntry() -> void {
  last_entry_ms_ = MonotonicMs();
  next_entry_ms_ = last_entry_ms_ + platform_->heartbeat_ms_;
  Json::Value entry(Json::objectValue);
  entry["service"] = service_;
  entry["address"] = address_;
  entry["zone"] = zone_;
  entry["version"] = "v1";
  entry["slots"] = 8;
  entry["state"] = is_draining_ ? "draining" : "ready";
  entry["cold_left_ms"] = 0;
  entry["capacity"]["cpu"] = Json::Int64{cpu_milli_};
  entry["capacity"]["mem_mb"] = 65536;
  entry["capacity"]["gpu"] = Json::Int64{accelerators_};
  entry["labels"].append("a");
  entry["labels"].append("r1");
  entry["clock_ms"] = Json::Int64{ClockMs()};
  entry["born"] = Json::Int64{born_ms_};
  entry["seq_no"] = Json::Int64{++entry_number_};
  platform_->store_.Put("servers/" + id_, DumpJson(entry));
}

auto EmulatedWorker::Handle(const HttpRequest& request,
                            const std::shared_ptr<HttpReply>& reply) -> void {
  if (is_cut_ || down_until_ms_ != 0) {
    unanswered_.push_back(reply);
    return;
  }
  const auto body = ParseJson(request.body_);
  const auto restarts = ++calls_ == restart_call_;
  const auto is_unanswered =
      restarts && restart_point_ != RestartPoint::kAfterAnswer;
  if (is_unanswered) {
    unanswered_.push_back(reply);
    RestartSoon();
    if (restart_point_ == RestartPoint::kBeforeCall) {
      return;
    }
  }
  if (request.path_ == "/hold") {
    HandleHold(body, reply, restarts);
    return;
  }
  const auto carry_out = [this, path = request.path_, body] {
    return path == "/run-start" ? HandleStart(body)
           : path == "/run-stop"
               ? HandleStop(body)
               : std::pair(200, Json::Value(Json::objectValue));
  };
  if (request.path_ == "/run-start" && late_starts_ > 0) {
    --late_starts_;
    unanswered_.push_back(reply);
    RunAfter(platform_->loop_, late_ms_, [carry_out] { carry_out(); });
    return;
  }
  if (auto& to_lose =
          request.path_ == "/run-start" ? starts_to_lose_ : stops_to_lose_;
      (request.path_ == "/run-start" || request.path_ == "/run-stop") &&
      to_lose > 0) {
    --to_lose;
    unanswered_.push_back(reply);
    return;
  }
  auto [status, answer] = carry_out();
  if (is_unanswered) {
    return;
  }
  if (restarts) {
    RestartSoon();
  }
  auto& to_lose =
      request.path_ == "/run-start" ? answers_to_lose_ : stop_answers_to_lose_;
  if ((request.path_ == "/run-start" || request.path_ == "/run-stop") &&
      to_lose > 0) {
    --to_lose;
    unanswered_.push_back(reply);
    return;
  }
  answer["clock_ms"] = Json::Int64{ClockMs()};
  SendAnswer(reply, status, DumpJson(answer),
             std::max(answer_delay_ms_, order_answer_delay_ms_));
}

auto EmulatedWorker::SendAnswer(const std::shared_ptr<HttpReply>& reply,
                                int status, const std::string& body,
                                Millis delay_ms) -> void {
  if (delay_ms == 0) {
    reply->Send(status, body);
    return;
  }
  late_answers_.push_back({MonotonicMs() + delay_ms, status, body, reply});
}

auto EmulatedWorker::HandleStart(const Json::Value& body)
    -> std::pair<int, Json::Value> {
  Json::Value refusal(Json::objectValue);
  const auto task = body["task"].asString();
  const auto run = body["run"].asInt64();
  const auto token = body["fencing_token"].asInt64();
  if (token < token_) {
    refusal["reason"] = "fence";
    return {409, refusal};
  }
  token_ = token;
  if (const auto it = running_.find(task);
      it != running_.end() && it->second.run_ == run) {
    return {200, Json::Value(Json::objectValue)};
  }
  if (const auto it = closed_runs_.find(task);
      it != closed_runs_.end() && run <= it->second) {
    refusal["reason"] = "old";
    return {409, refusal};
  }
  if (body["deadline_ms"].asInt64() <= ClockMs()) {
    refusal["reason"] = "late";
    return {409, refusal};
  }
  deadline_ms_ = std::max(deadline_ms_, std::min(body["deadline_ms"].asInt64(),
                                                 ClockMs() + kMaxHoldMs));
  platform_->JudgeStart(*this, task);
  const auto spec = body["spec"].asString();
  const auto demand = platform_->demands_[JobOf(task)];
  Run started{
      run,
      demand.first,
      demand.second,
      Figure(spec, "ms", 100),
      MonotonicMs(),
      MonotonicMs(),
      static_cast<int>(Figure(spec, "gang", 0)),
      is_failing_ || (IsFaulty(spec, task) &&
                      platform_->failures_[task] < Figure(spec, "fail", 0)),
      IsFaulty(spec, task) ? Figure(spec, "crash", 0) : 0};
  if (started.gang_ > 0) {
    started.begun_ms_ = 0;
  }
  running_[task] = started;
  return {200, Json::Value(Json::objectValue)};
}

auto EmulatedWorker::HandleStop(const Json::Value& body)
    -> std::pair<int, Json::Value> {
  const auto task = body["task"].asString();
  const auto run = body["run"].asInt64();
  if (body["fencing_token"].asInt64() < token_) {
    Json::Value refusal(Json::objectValue);
    refusal["reason"] = "fence";
    return {409, refusal};
  }
  const auto it = running_.find(task);
  if (it != running_.end() && it->second.run_ == run) {
    if (stop_ms_ == 0) {
      EndRun(task, "stopped");
    } else if (it->second.stopped_at_ms_ == 0) {
      it->second.stopped_at_ms_ = MonotonicMs() + stop_ms_;
    }
  }
  closed_runs_[task] = std::max(closed_runs_[task], run);
  return {200, Json::Value(Json::objectValue)};
}

auto EmulatedWorker::Lists(std::int64_t last_seen) const -> Json::Value {
  Json::Value answer(Json::objectValue);
  answer["clock_ms"] = Json::Int64{ClockMs()};
  answer["born"] = Json::Int64{born_ms_};
  answer["running"] = Json::Value(Json::arrayValue);
  answer["finished"] = Json::Value(Json::arrayValue);
  for (const auto& [task, run] : running_) {
    Json::Value row(Json::arrayValue);
    row.append(task);
    row.append(Json::Int64{run.run_});
    row.append("");
    row.append(100);
    row.append(Json::Int64{run.begun_ms_ == 0 ? 0 : run.cpu_milli_});
    answer["running"].append(row);
  }
  for (const auto& end : ended_) {
    if (end.number_ > last_seen) {
      Json::Value row(Json::arrayValue);
      row.append(Json::Int64{end.number_});
      row.append(end.task_);
      row.append(Json::Int64{end.run_});
      row.append(end.how_);
      row.append("");
      answer["finished"].append(row);
    }
  }
  return answer;
}

auto EmulatedWorker::RestartSoon() -> void {
  RunAfter(platform_->loop_, 0, [this] { Restart(); });
}

auto EmulatedWorker::HandleHold(const Json::Value& body,
                                const std::shared_ptr<HttpReply>& reply,
                                bool restarts) -> void {
  const auto token = body["fencing_token"].asInt64();
  if (token < token_) {
    SendAnswer(
        reply, 409,
        fmt::format("{{\"clock_ms\":{},\"reason\":\"fence\"}}", ClockMs()),
        answer_delay_ms_);
    return;
  }
  token_ = token;
  const auto last_seen = body["last_seen"].asInt64();
  std::erase_if(ended_,
                [&](const End& end) { return end.number_ <= last_seen; });
  if (body.isMember("deadline_ms")) {
    deadline_ms_ = std::max(
        deadline_ms_,
        std::min(body["deadline_ms"].asInt64(), ClockMs() + kMaxHoldMs));
  }
  if (restarts && restart_point_ == RestartPoint::kBeforeAnswer) {
    return;
  }
  waiting_.push_back(
      {last_seen, MonotonicMs() + body["wait_ms"].asInt64(), reply, restarts});
  Tick(MonotonicMs());
}

auto EmulatedWorker::EndRun(const std::string& task, const std::string& how)
    -> void {
  const auto it = running_.find(task);
  const auto run = it->second.run_;
  running_.erase(it);
  closed_runs_[task] = std::max(closed_runs_[task], run);
  ended_.push_back({next_end_++, task, run, how});
  if (how == "done") {
    platform_->done_.insert(task);
  } else if (how == "failed") {
    ++platform_->failures_[task];
  } else if (how == "alone") {
    platform_->violations_.push_back(
        fmt::format("run {} of {} waited in vain for its gang", run, task));
  }
}

auto EmulatedWorker::Tick(Millis now_ms) -> void {
  if (down_until_ms_ != 0) {
    if (now_ms < down_until_ms_) {
      return;
    }
    Restart();
  }
  if (std::any_of(running_.begin(), running_.end(), [&](const auto& entry) {
        const auto& run = entry.second;
        return run.crash_ms_ > 0 && now_ms >= run.arrived_ms_ + run.crash_ms_;
      })) {
    Crash();
    return;
  }
  std::vector<std::pair<std::string, std::string>> ends;
  for (auto& [task, run] : running_) {
    if (run.stopped_at_ms_ != 0) {
      if (now_ms >= run.stopped_at_ms_) {
        ends.emplace_back(task, "stopped");
      }
    } else if (run.gang_ > 0 && run.begun_ms_ == 0) {
      auto present = 0;
      for (const auto& [id, other] : platform_->workers_) {
        for (const auto& [name, member] : other->running_) {
          present +=
              StepOf(name) == StepOf(task) && member.run_ == run.run_ ? 1 : 0;
        }
      }
      if (present >= run.gang_) {
        run.begun_ms_ = now_ms;
      } else if (now_ms - run.arrived_ms_ > kGangWaitMs) {
        ends.emplace_back(task, "alone");
      }
    } else if (run.work_ms_ > 0 && now_ms >= run.begun_ms_ + run.work_ms_) {
      ends.emplace_back(task, run.fails_ ? "failed" : "done");
    }
  }
  if (deadline_ms_ != 0 && ClockMs() > deadline_ms_) {
    // An end that nobody took note of before the lease lapsed does not count.
    for (const auto& end : ended_) {
      platform_->done_.erase(end.task_);
    }
    ends.clear();
    for (const auto& [task, run] : running_) {
      ends.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : ends) {
    EndRun(task, how);
  }
  if (is_cut_) {
    if (platform_->entry_ttl_ms_ > 0 && last_entry_ms_ != 0 &&
        now_ms > last_entry_ms_ + platform_->entry_ttl_ms_) {
      platform_->store_.Remove("servers/" + id_);
      last_entry_ms_ = 0;
    }
    return;
  }
  std::vector<Waiting> open;
  auto restarts = false;
  for (auto& waiting : waiting_) {
    const auto has_end =
        !ended_.empty() && ended_.back().number_ > waiting.last_seen_;
    if (has_end || now_ms >= waiting.until_ms_) {
      restarts |= (has_end && restarts_after_ends_) || waiting.restarts_;
      SendAnswer(waiting.reply_, 200, DumpJson(Lists(waiting.last_seen_)),
                 answer_delay_ms_);
    } else {
      open.push_back(waiting);
    }
  }
  waiting_ = std::move(open);
  std::erase_if(late_answers_, [now_ms](const LateAnswer& answer) {
    if (now_ms < answer.due_ms_) {
      return false;
    }
    answer.reply_->Send(answer.status_, answer.body_);
    return true;
  });
  if (now_ms >= next_entry_ms_) {
    WriteEntry();
  }
  if (restarts) {
    restarts_after_ends_ = false;
    Restart();
  }
}

PlatformEmulator::PlatformEmulator(uv_loop_t* loop)
    : loop_(loop), store_(loop) {
  std::tie(advice_server_, advice_address_) =
      Listen(loop, [this](const HttpRequest& request,
                          const std::shared_ptr<HttpReply>& reply) {
        HandleAdvice(request, reply);
      });
  tick_ = std::make_unique<RepeatingTimer>(loop, kTickMs, [this] { Tick(); });
}

auto PlatformEmulator::AddWorker(const std::string& id,
                                 const std::string& service,
                                 std::int64_t cpu_milli,
                                 std::int64_t accelerators) -> EmulatedWorker& {
  auto& worker = workers_[id];
  worker = std::make_unique<EmulatedWorker>(this, id, service, cpu_milli,
                                            accelerators);
  return *worker;
}

auto PlatformEmulator::StartsOf(const std::string& job) const -> int {
  const auto it = starts_by_job_.find(job);
  return it == starts_by_job_.end() ? 0 : it->second;
}

auto PlatformEmulator::StartsOfTask(const std::string& task) const -> int {
  const auto it = starts_by_task_.find(task);
  return it == starts_by_task_.end() ? 0 : it->second;
}

auto PlatformEmulator::DoneOf(const std::string& job) const -> int {
  auto count = 0;
  const auto prefix = job + ".";
  for (auto it = done_.lower_bound(prefix);
       it != done_.end() && it->starts_with(prefix); ++it) {
    ++count;
  }
  return count;
}

auto PlatformEmulator::CrashesOf(const std::string& job) const -> int {
  auto count = 0;
  for (const auto& [task, crashes] : crashes_) {
    count += JobOf(task) == job ? crashes : 0;
  }
  return count;
}

auto PlatformEmulator::JudgeCrashes(const std::string& task) -> void {
  const auto it = crashes_.find(task);
  if (it != crashes_.end() && it->second >= kMaxCrashes &&
      !lasting_jobs_.contains(JobOf(task)) &&
      ++starts_after_crashes_[task] == kForbiddenStart) {
    violations_.push_back(
        fmt::format("{} is started {} times after it has crashed {} workers",
                    task, kForbiddenStart, kMaxCrashes));
  }
}

auto PlatformEmulator::RunningOf(const std::string& job) const -> int {
  auto count = 0;
  for (const auto& [id, worker] : workers_) {
    for (const auto& [task, run] : worker->running_) {
      count += JobOf(task) == job ? 1 : 0;
    }
  }
  return count;
}

auto PlatformEmulator::HandleAdvice(const HttpRequest& request,
                                    const std::shared_ptr<HttpReply>& reply)
    -> void {
  const auto body = ParseJson(request.body_);
  Json::Value answer(Json::objectValue);
  answer["allowed"] = Json::Value(Json::arrayValue);
  for (const auto& id : body["workers"]) {
    if (allowed_.empty() || allowed_.contains(id.asString())) {
      Json::Value row(Json::arrayValue);
      row.append(id);
      row.append("ticket-" + id.asString());
      answer["allowed"].append(row);
    }
  }
  answer["valid_ms"] = Json::Int64{kTicketValidMs};
  reply->Send(200, DumpJson(answer));
}

auto PlatformEmulator::JudgeStart(EmulatedWorker& worker,
                                  const std::string& task) -> void {
  ++starts_;
  ++starts_by_job_[JobOf(task)];
  ++starts_by_task_[task];
  JudgeCrashes(task);
  const auto demand = demands_[JobOf(task)];
  auto cpu = demand.first;
  auto accelerators = demand.second;
  for (const auto& [name, run] : worker.running_) {
    cpu += run.cpu_milli_;
    accelerators += run.accelerators_;
  }
  if (!worker.MayHold(cpu, accelerators, MonotonicMs())) {
    violations_.push_back(
        fmt::format("the start of {} overfills {}: {} of {} milli-processors",
                    task, worker.id_, cpu, worker.cpu_milli_));
  }
  if (done_.contains(task)) {
    violations_.push_back(fmt::format("{} starts after it was done", task));
  }
  for (const auto& [id, other] : workers_) {
    if (other->running_.contains(task)) {
      violations_.push_back(fmt::format("{} starts on {} while it runs on {}",
                                        task, worker.id_, id));
    }
  }
}

auto PlatformEmulator::Tick() -> void {
  const auto now = MonotonicMs();
  auto suspect_workers = 0;
  for (auto& [id, worker] : workers_) {
    suspect_workers +=
        std::any_of(worker->running_.begin(), worker->running_.end(),
                    [this](const auto& entry) {
                      const auto it = crashes_.find(entry.first);
                      return it != crashes_.end() && it->second > 1;
                    })
            ? 1
            : 0;
    worker->Tick(now);
  }
  max_suspect_workers_ = std::max(max_suspect_workers_, suspect_workers);
}

}  // namespace lentilscale::testing
