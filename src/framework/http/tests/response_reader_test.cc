#include "framework/http/internal/response_reader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "framework/testing/story.h"

namespace acacialug::http {
namespace {

using testing::ForEach;

const std::string kInner = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner";
const std::string kInnerLength =
    "Content-Length: " + std::to_string(kInner.size()) + "\r\n";
const std::string kOk = "HTTP/1.1 200 OK";
const std::string kChunks = "5\r\nouter\r\n0\r\n\r\n";

struct ReadAnswer {
  bool head_done = false;
  int status = 0;
  Headers headers;
  std::string body;
  ReadStep last = ReadStep::kNeedMore;
  std::optional<Error> fault;
};

// Reads the answer in pieces of so many bytes, and then the connection's end.
ReadAnswer Read(const std::string& bytes, std::size_t piece) {
  ResponseReader reader({});
  ReadAnswer answer;
  for (std::size_t at = 0;
       at < bytes.size() && answer.last == ReadStep::kNeedMore; at += piece) {
    reader.Append(std::string_view(bytes).substr(at, piece));
    answer.last = reader.Advance();
    while (answer.last == ReadStep::kHeadDone) {
      answer.head_done = true;
      answer.status = reader.status();
      answer.headers = reader.headers();
      answer.last = reader.Advance();
    }
  }
  if (answer.last == ReadStep::kNeedMore) {
    answer.last = reader.FinishAtEnd();
  }
  if (answer.last == ReadStep::kFault) {
    answer.fault = reader.fault();
  }
  answer.body = reader.TakeBody();
  return answer;
}

struct Row {
  std::string name;
  std::string bytes;
};

std::string NameOf(const Row& row) {
  return row.name;
}

std::string Printable(const std::string& text) {
  std::string printable;
  for (const char character : text) {
    const bool plain = character >= ' ' && character <= '~';
    printable +=
        plain
            ? std::string(1, character)
            : "<" + std::to_string(static_cast<unsigned char>(character)) + ">";
  }
  return printable;
}

std::string AnswerOf(std::string_view status_line,
                     std::string_view fields,
                     std::string_view body) {
  std::string answer(status_line);
  answer.append("\r\n").append(fields).append("\r\n").append(body);
  return answer;
}

std::vector<Row> StatusRows() {
  std::vector<Row> rows;
  for (const std::string status :
       {"000", "001", "099", "600", "999", "101", "00", "20", "2000", "-20",
        "+20", " 20", "2 0", "20x", "0x2", "", "\t20", "\x7f"}) {
    rows.push_back({"the status <" + Printable(status) + ">",
                    AnswerOf("HTTP/1.1 " + status + " OK", {}, kInner)});
  }
  rows.push_back(
      {"000 after an interim answer",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n\r\n" + kInner});
  rows.push_back(
      {"000 with a length", AnswerOf("HTTP/1.1 000 OK", kInnerLength, kInner)});
  for (const std::string version :
       {"HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/1.11", "HTTP/1", "http/1.1",
        "HTTPS/1.1", " HTTP/1.1", "HTTP/-1.1"}) {
    rows.push_back({"the version <" + version + ">",
                    AnswerOf(version + " 200 OK", {}, kInner)});
  }
  rows.push_back(
      {"a control byte in the reason", "HTTP/1.1 200 O\x01K\r\n\r\n" + kInner});
  return rows;
}

// A line at the start, in the middle and at the end of a head.
void AddAnywhere(const std::string& name,
                 const std::string& line,
                 std::vector<Row>& rows) {
  const std::string length = "Content-Length: 5\r\n";
  const std::string other = "A: b\r\n";
  rows.push_back(
      {name + ", first", AnswerOf(kOk, line + other + length, "outer")});
  rows.push_back({name + ", between others",
                  AnswerOf(kOk, other + line + length, "outer")});
  rows.push_back(
      {name + ", last", AnswerOf(kOk, other + length + line, "outer")});
}

std::vector<Row> FieldRows() {
  std::vector<Row> rows;
  for (const std::string name :
       {"X Y", "X ", "X\tY", "X\x01Y", "\x01X", "X\x7f", "X\rY", "X\nY",
        "X\x80", "\xc3\xa9", "X(", "X\"", ""}) {
    AddAnywhere("a field's name <" + Printable(name) + ">", name + ": v\r\n",
                rows);
  }
  AddAnywhere("a line without a colon", "Xv\r\n", rows);
  for (const std::string& value : std::vector<std::string>{
           "v\x01", "\x7f", "v\rw", std::string("v\0w", 3)}) {
    AddAnywhere("a field's value <" + Printable(value) + ">",
                "X: " + value + "\r\n", rows);
  }
  return rows;
}

std::vector<Row> FoldedRows() {
  std::vector<Row> rows;
  for (const std::string blank : {" ", "\t", "  \t"}) {
    const std::string name = "begins with <" + Printable(blank) + ">";
    AddAnywhere("a field's name that " + name, blank + "X: v\r\n", rows);
    AddAnywhere("a line that " + name, "X: v\r\n" + blank + "w\r\n", rows);
    AddAnywhere("a blank line that " + name, "X: v\r\n" + blank + "\r\n", rows);
    rows.push_back(
        {"a framing whose name " + name,
         AnswerOf(kOk, "X: v\r\n" + blank + "Transfer-Encoding: chunked\r\n",
                  kChunks)});
  }
  return rows;
}

std::vector<Row> FramingRows() {
  std::vector<Row> rows;
  const auto add = [&rows](const std::string& lines) {
    rows.push_back({Printable(lines), AnswerOf(kOk, lines, kChunks)});
  };
  for (const std::string coding :
       {"gzip", "identity", "xchunked", "chunked, gzip", "chunked, chunked",
        "gzip, chunked", "chunked;a=b", "chunked,", ""}) {
    add("Transfer-Encoding: " + coding + "\r\n");
  }
  add("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n");
  add("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n");
  add("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n");
  add("Transfer-Encoding: \r\nTransfer-Encoding: chunked\r\n");
  add("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n");
  add("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n");
  add("Content-Length: 5\r\nTransfer-Encoding: identity\r\n");
  for (const std::string length :
       {"x", "-1", "+5", "5x", "0x5", "", "5 5", "99999999999999999999999"}) {
    add("Content-Length: " + length + "\r\n");
  }
  add("Content-Length: 5\r\nContent-Length: 6\r\n");
  return rows;
}

std::vector<Row> InterimRows() {
  std::vector<Row> rows;
  for (const std::string status : {"100", "103", "199"}) {
    for (const std::string& framing :
         {kInnerLength, std::string("Transfer-Encoding: chunked\r\n")}) {
      rows.push_back({status + " with " + Printable(framing),
                      AnswerOf("HTTP/1.1 " + status + " S", framing, kInner)});
    }
  }
  return rows;
}

std::vector<Row> ChunkRows() {
  std::vector<Row> rows;
  for (const std::string chunk :
       {"x\r\nouter\r\n", "-5\r\nouter\r\n", "\r\nouter\r\n", "5outer\r\n",
        "5\r\nouterx\r\n", "11111111111111111\r\nouter\r\n", "5 x\r\nouter\r\n",
        "0\r\nX Y: v\r\n\r\n", "0\r\nX\x01: v\r\n\r\n", "0\r\nXv\r\n\r\n"}) {
    rows.push_back(
        {Printable(chunk),
         AnswerOf(kOk, "Transfer-Encoding: chunked\r\n", chunk + "0\r\n\r\n")});
  }
  return rows;
}

void CheckNoAnswer(const Row& row) {
  // Guards against passing on, as an endpoint's answer, what is no HTTP.
  for (const std::size_t piece : {row.bytes.size(), std::size_t{1}}) {
    const ReadAnswer answer = Read(row.bytes, piece);
    CPPUNIT_ASSERT(!answer.head_done);
    CPPUNIT_ASSERT_EQUAL(std::string(), answer.body);
    CPPUNIT_ASSERT(answer.last == ReadStep::kFault);
    CPPUNIT_ASSERT(answer.fault->code == ResultCode::kMalformedAnswer);
  }
}

struct SoundRow {
  std::string name;
  std::string bytes;
  int status;
  std::string body;
};

const std::string kOuter = "Content-Length: 5\r\n\r\nouter";

const std::vector<SoundRow> kSoundRows{
    {"the first final status", "HTTP/1.1 200 OK\r\n" + kOuter, 200, "outer"},
    {"the last status", "HTTP/1.1 599 S\r\n" + kOuter, 599, "outer"},
    {"a status without a reason", "HTTP/1.1 404 \r\n" + kOuter, 404, "outer"},
    {"interim answers first",
     "HTTP/1.1 100 S\r\n\r\nHTTP/1.1 103 S\r\nA: b\r\n\r\n"
     "HTTP/1.1 199 S\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" +
         kOuter,
     200, "outer"},
    {"chunks in another case",
     "HTTP/1.1 200 OK\r\ntransfer-encoding:\t CHUNKED \r\n\r\n" + kChunks, 200,
     "outer"},
    {"bytes over 127 in a value",
     "HTTP/1.1 200 OK\r\nX: \xc3\xa9 \t v\r\n" + kOuter, 200, "outer"},
    {"empty values", "HTTP/1.1 200 OK\r\nX:\r\nY: \r\n" + kOuter, 200, "outer"},
    {"a body that begins with a blank",
     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n oute", 200, " oute"},
    {"a body of folded lines", "HTTP/1.1 200 OK\r\n\r\nA: b\r\n c", 200,
     "A: b\r\n c"}};

const testing::Story kReader(
    "a response reader",
    {ForEach<Row>("takes for no answer", StatusRows(), NameOf, CheckNoAnswer),
     ForEach<Row>("takes for no answer one with",
                  FieldRows(),
                  NameOf,
                  CheckNoAnswer),
     ForEach<Row>("takes for no answer one with",
                  FoldedRows(),
                  NameOf,
                  CheckNoAnswer),
     ForEach<Row>("takes for no answer one framed by",
                  FramingRows(),
                  NameOf,
                  CheckNoAnswer),
     ForEach<Row>("takes for no answer what follows",
                  InterimRows(),
                  NameOf,
                  CheckNoAnswer),
     ForEach<Row>(
         "takes no chunks for whole that are",
         ChunkRows(),
         NameOf,
         [](const Row& row) {
           // Guards against a body that its endpoint did not send.
           for (const std::size_t piece : {row.bytes.size(), std::size_t{1}}) {
             const ReadAnswer answer = Read(row.bytes, piece);
             CPPUNIT_ASSERT(answer.last == ReadStep::kFault);
             CPPUNIT_ASSERT(answer.fault->code == ResultCode::kMalformedAnswer);
           }
         }),
     ForEach<SoundRow>(
         "reads",
         kSoundRows,
         [](const SoundRow& row) { return row.name; },
         [](const SoundRow& row) {
           for (const std::size_t piece : {row.bytes.size(), std::size_t{1}}) {
             const ReadAnswer answer = Read(row.bytes, piece);
             CPPUNIT_ASSERT(answer.last == ReadStep::kDone);
             CPPUNIT_ASSERT_EQUAL(row.status, answer.status);
             CPPUNIT_ASSERT_EQUAL(row.body, answer.body);
           }
         })});

}  // namespace
}  // namespace acacialug::http
