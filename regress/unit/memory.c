/*
 * Room for what is held for others: the account of the memory, shared bodies,
 * and frames with a large body, which are packed and unpacked without a copy.
 */
#include <stdlib.h>
#include <string.h>

#include <CUnit/Basic.h>

#include "../../peer/frame_body.h"
#include "unit.h"

#define MB ((size_t)1000000)
#define BODY_LEN 100000U
#define BODY_MAX ((size_t)64 << 20)

/* What is kept for small things cannot be taken by large ones, nor by what
 * follows unanswered requests. */
static void
test_classes(void)
{
    JdMemory mm;
    size_t limit;

    JdMemory_Init(&mm, 160 * MB);
    limit = mm.limit;
    CU_ASSERT_TRUE(limit < 160 * MB);
    /* One body of the largest legal size fits the smallest memory. */
    CU_ASSERT_TRUE(JdMemory_Room(&mm, JD_MEMORY_LARGE) >= BODY_MAX);
    CU_ASSERT_TRUE(JdMemory_Take(&mm, JD_MEMORY_LARGE,
                                 JdMemory_Room(&mm, JD_MEMORY_LARGE)));
    CU_ASSERT_FALSE(JdMemory_Take(&mm, JD_MEMORY_LARGE, 1));
    CU_ASSERT_TRUE(JdMemory_Take(&mm, JD_MEMORY_FOLLOWING,
                                 JdMemory_Room(&mm, JD_MEMORY_FOLLOWING)));
    CU_ASSERT_FALSE(JdMemory_Take(&mm, JD_MEMORY_FOLLOWING, 1));
    CU_ASSERT_TRUE(JdMemory_Room(&mm, JD_MEMORY_FIRST) >= limit / 8);
    JdMemory_TakeAnyway(&mm, 2 * limit);
    CU_ASSERT_EQUAL(JdMemory_Room(&mm, JD_MEMORY_FIRST), 0);
    JdMemory_Give(&mm, mm.used);
    CU_ASSERT_EQUAL(JdMemory_Room(&mm, JD_MEMORY_FIRST), limit);
}

/* A small memory leaves some room, and a change of the memory holds at once.
 */
static void
test_limits(void)
{
    JdMemory mm;

    JdMemory_Init(&mm, 16 * MB);
    CU_ASSERT_TRUE(mm.limit > 0 && mm.limit < 16 * MB);
    JdMemory_TakeAnyway(&mm, 10 * MB);
    JdMemory_SetProcessBytes(&mm, 512 * MB);
    CU_ASSERT_TRUE(JdMemory_Room(&mm, JD_MEMORY_FIRST) > 400 * MB);
    JdMemory_SetProcessBytes(&mm, 16 * MB);
    CU_ASSERT_EQUAL(JdMemory_Room(&mm, JD_MEMORY_FIRST), 0);
    CU_ASSERT_TRUE(JdMemory_Take(NULL, JD_MEMORY_LARGE, SIZE_MAX));
}

/* A body gives its room back with the last reference, whichever that is. */
static void
test_body(void)
{
    char data[1000] = "x";
    JdMemory mm;
    JdBody *b, *other;

    JdMemory_Init(&mm, 64 * MB);
    b = JdBody_New(&mm);
    for (int i = 0; i < 200; i++) {
        CU_ASSERT_TRUE(JdBody_Append(b, data, sizeof(data)));
    }
    CU_ASSERT_EQUAL(b->len, 200 * sizeof(data));
    CU_ASSERT_TRUE(mm.used >= b->len);
    other = JdBody_Ref(b);
    JdBody_Unref(b);
    CU_ASSERT_EQUAL(other->data[199 * sizeof(data)], 'x');
    JdBody_Unref(other);
    CU_ASSERT_EQUAL(mm.used, 0);
}

/* A body that finds no room does not grow, and keeps what it has. */
static void
test_full(void)
{
    char data[4096] = "";
    JdMemory mm;
    JdBody *b, *large;
    size_t n = 0;

    JdMemory_Init(&mm, 64 * MB);
    large = JdBody_New(&mm);
    CU_ASSERT_TRUE(JdBody_Reserve(large, JD_MEMORY_LARGE, 20 * MB));
    CU_ASSERT_FALSE(JdBody_Reserve(large, JD_MEMORY_LARGE, 60 * MB));
    b = JdBody_New(&mm);
    while (n < 64 * MB && JdBody_Append(b, data, sizeof(data))) {
        n += sizeof(data);
    }
    CU_ASSERT_EQUAL(b->len, n);
    CU_ASSERT_TRUE(mm.used <= JdMemory_ClassLimit(&mm, JD_MEMORY_LARGE));
    JdBody_Clear(b);
    CU_ASSERT_EQUAL(mm.used, 20 * MB);
    JdBody_Unref(b);
    JdBody_Unref(large);
    CU_ASSERT_EQUAL(mm.used, 0);
}

/* Returns a frame as it is received: what was packed, then the body. */
static JdBody *
receive(const GByteArray *head, const JdBody *body)
{
    JdBody *b = JdBody_New(NULL);

    JdBody_Append(b, head->data + JD_FRAME_LENGTH_SIZE,
                  head->len - JD_FRAME_LENGTH_SIZE);
    JdBody_Append(b, body->data, body->len);
    return b;
}

static JdBody *
make_body(void)
{
    uint8_t *data = malloc(BODY_LEN);

    for (size_t i = 0; i < BODY_LEN; i++) {
        data[i] = (uint8_t)(i * 7);
    }
    return JdBody_Own(NULL, data, BODY_LEN);
}

static void
fill_request(Jd__Request *msg)
{
    jd__request__init(msg);
    msg->id = 300;
    msg->path = "/kiln/1";
    msg->left_ms = 1500;
    msg->host = "shop.example";
    msg->is_call = true;
}

/* The body is the last field of what is sent.  The receiver gets it without a
 * copy, and the other fields as they were. */
static void
test_pack(void)
{
    JdBody *body = make_body();
    Jd__Request msg;
    Jd__Frame frame = JD__FRAME__INIT;
    GByteArray *head;
    JdBody *got;
    JdFrameHead start;
    Jd__Frame *out;
    bool has_body;

    fill_request(&msg);
    frame.version = 4711;
    frame.body_case = JD__FRAME__BODY_REQUEST;
    frame.request = &msg;
    head = JdFrameBody_Pack(&frame, body->len);
    got = receive(head, body);
    JdFrameHead_Parse(got->data, JD_FRAME_HEAD_MAX, &start);
    CU_ASSERT_EQUAL(start.kind, JD__FRAME__BODY_REQUEST);
    CU_ASSERT_EQUAL(start.id, 300);
    /* A node of an older release unpacks the same. */
    out = jd__frame__unpack(NULL, got->len, got->data);
    CU_ASSERT_PTR_NOT_NULL_FATAL(out);
    if (out == NULL) {
        return;
    }
    CU_ASSERT_EQUAL(out->request->body.len, BODY_LEN);
    CU_ASSERT_EQUAL(memcmp(out->request->body.data, body->data, BODY_LEN), 0);
    jd__frame__free_unpacked(out, NULL);
    out = JdFrameBody_Unpack(got, &has_body);
    CU_ASSERT_PTR_NOT_NULL_FATAL(out);
    if (out == NULL) {
        return;
    }
    CU_ASSERT_TRUE(has_body);
    CU_ASSERT_EQUAL(out->version, 4711);
    CU_ASSERT_EQUAL(out->request->id, 300);
    CU_ASSERT_STRING_EQUAL(out->request->path, "/kiln/1");
    CU_ASSERT_STRING_EQUAL(out->request->host, "shop.example");
    CU_ASSERT_TRUE(out->request->is_call);
    CU_ASSERT_EQUAL(out->request->body.len, 0);
    CU_ASSERT_EQUAL(got->len, BODY_LEN);
    CU_ASSERT_EQUAL(memcmp(got->data, body->data, BODY_LEN), 0);
    jd__frame__free_unpacked(out, NULL);
    g_byte_array_unref(head);
    JdBody_Unref(got);
    JdBody_Unref(body);
}

/* Frames of an older release have the body between other fields. */
static void
test_unpack_older(void)
{
    JdBody *body = make_body();
    Jd__Response msg = JD__RESPONSE__INIT;
    Jd__Frame frame = JD__FRAME__INIT;
    JdBody *got = JdBody_New(NULL);
    Jd__Frame *out;
    bool has_body;

    msg.id = 9;
    msg.status = 200;
    msg.body.data = body->data;
    msg.body.len = body->len;
    msg.load = 40;
    frame.body_case = JD__FRAME__BODY_RESPONSE;
    frame.response = &msg;
    JdBody_Reserve(got, JD_MEMORY_LARGE, jd__frame__get_packed_size(&frame));
    got->len = jd__frame__pack(&frame, got->data);
    out = JdFrameBody_Unpack(got, &has_body);
    CU_ASSERT_PTR_NOT_NULL_FATAL(out);
    if (out == NULL) {
        return;
    }
    CU_ASSERT_TRUE(has_body);
    CU_ASSERT_EQUAL(out->response->status, 200);
    CU_ASSERT_EQUAL(out->response->load, 40);
    CU_ASSERT_EQUAL(got->len, BODY_LEN);
    CU_ASSERT_EQUAL(memcmp(got->data, body->data, BODY_LEN), 0);
    jd__frame__free_unpacked(out, NULL);
    JdBody_Unref(got);
    JdBody_Unref(body);
}

/* Frames that are cut or spoiled are not read beyond their end. */
static void
test_unpack_spoiled(void)
{
    JdBody *body = make_body();
    Jd__Request msg;
    Jd__Frame frame = JD__FRAME__INIT;
    GByteArray *head;

    fill_request(&msg);
    frame.body_case = JD__FRAME__BODY_REQUEST;
    frame.request = &msg;
    head = JdFrameBody_Pack(&frame, body->len);
    for (size_t i = 0; i < head->len - JD_FRAME_LENGTH_SIZE; i++) {
        JdBody *got = receive(head, body);
        uint8_t *data = malloc(i + 1);
        JdFrameHead start;
        Jd__Frame *out;
        bool has_body;

        memcpy(data, got->data, i);
        JdFrameHead_Parse(data, i, &start);
        free(data);
        got->data[i] ^= 0x55;
        out = JdFrameBody_Unpack(got, &has_body);
        if (out != NULL) {
            jd__frame__free_unpacked(out, NULL);
        }
        JdBody_Unref(got);
    }
    g_byte_array_unref(head);
    JdBody_Unref(body);
}

void
Unit_AddMemory(void)
{
    CU_pSuite s = CU_add_suite("memory", NULL, NULL);

    CU_add_test(s, "classes", test_classes);
    CU_add_test(s, "limits", test_limits);
    CU_add_test(s, "shared body", test_body);
    CU_add_test(s, "full", test_full);
    CU_add_test(s, "frame with a body", test_pack);
    CU_add_test(s, "frame of an older release", test_unpack_older);
    CU_add_test(s, "spoiled frames", test_unpack_spoiled);
}
