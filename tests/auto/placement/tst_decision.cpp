#include <CppUTest/TestHarness.h>
